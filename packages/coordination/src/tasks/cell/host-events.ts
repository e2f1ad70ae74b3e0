import type {Announce, Hello} from '../../messages/control.js';
import {leaseWaitMs} from '../timing.js';
import {CellHost} from './cell-host.js';
import type {CellState} from './cell-state.js';

/** Applies a new connection of a host. Its leases are not extended before it sends a full report. */
export function applyHostUp(
  state: CellState,
  name: string,
  hello: Hello,
  announce: Announce | undefined,
): void {
  const {dataCentre, region, incarnation} = hello;
  let host = state.hosts.get(name);
  if (!host) {
    host = new CellHost({name, dataCentre, region, rack: announce?.rack ?? ''});
    state.hosts.set(name, host);
  }
  host.incarnation = incarnation;
  host.isUp = true;
  host.hasReported = false;
  host.stamp = undefined;
  if (announce) applyAnnounce(state, name, announce);
}

/** Applies the rack, capacity and draining flag of a host's announcement. */
export function applyAnnounce(state: CellState, name: string, message: Announce): void {
  const host = state.hosts.get(name);
  if (!host) return;
  host.place.rack = message.rack;
  host.isDraining = message.draining;
  host.setCapacity(message.capacity);
  state.capacityVersion += 1;
}

/** Applies a lost connection. The runs are kept until the host reports again or their leases have certainly expired. */
export function applyHostDown(state: CellState, name: string): void {
  const host = state.hosts.get(name);
  if (!host) return;
  host.isUp = false;
  host.hasReported = false;
  host.stamp = undefined;
  for (const run of host.runs.values()) {
    if (run.state === 'settling') continue;
    run.state = 'lost';
    run.releaseAt = host.grantedAt + leaseWaitMs;
  }
}
