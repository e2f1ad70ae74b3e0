import type {Resources} from '../../messages/identity.js';
import {addAmounts, copyAmounts, createAmounts, type Amounts} from '../amounts.js';
import type {TaskRun} from './task-run.js';
import {taskHeartbeatMs} from '../timing.js';
import {WorkerHealth} from '../round/worker-health.js';

/** Age of the latest heartbeat from which a host gets no new tasks: two heartbeats were missed. */
export const staleHeartbeatMs = 2 * taskHeartbeatMs;

/** Name and location of a host. */
export interface HostLocation {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  rack: string;
}

/** State of one host as known to a cell scheduler. */
export class CellHost {
  /** Capacity in the latest announcement; zero before the first. */
  capacity: Amounts = createAmounts();
  /** Reservations of the runs on the host. */
  readonly used: Amounts = createAmounts();
  /** Runs that hold a reservation on the host, by task id. */
  readonly runs = new Map<string, TaskRun>();
  /** Failure detector of the host's worker. */
  health = new WorkerHealth();
  /** Whether the host is connected. */
  isUp = false;
  /** Incarnation in the latest handshake of the agent. */
  incarnation = 0;
  /** Whether the latest announcement says that the host is draining. */
  isDraining = false;
  /** Whether the host has sent a full report since it connected in this term; only then are its leases extended. */
  hasReported = false;
  /** Agent's clock time in the latest heartbeat, in milliseconds; absent before the first. */
  stamp?: number;
  /** Time at which that heartbeat was received. */
  heartbeatReceivedAt = Number.NEGATIVE_INFINITY;
  /** Receipt time of the latest heartbeat whose stamp was sent back in a grant or start. */
  grantedAt = Number.NEGATIVE_INFINITY;
  /** Latest measured latency of a service on the host divided by its latency without batch tasks. */
  latencyRatio?: number;

  constructor(readonly place: HostLocation) {}

  /** Name of the host. */
  get name(): string {
    return this.place.name;
  }

  /** Adds a run and its reservation. */
  add(run: TaskRun): void {
    this.runs.set(run.id, run);
    addAmounts(this.used, run.reserved);
  }

  /** Removes a run and its reservation. */
  remove(run: TaskRun): void {
    if (this.runs.get(run.id) !== run) return;
    this.runs.delete(run.id);
    addAmounts(this.used, run.reserved, -1);
  }

  /** Whether the host can start tasks; drains and suspensions are checked separately. */
  isReachable(at: number): boolean {
    return (
      this.isUp &&
      this.hasReported &&
      this.stamp !== undefined &&
      at - this.heartbeatReceivedAt < staleHeartbeatMs
    );
  }

  /** Sets the capacity. */
  setCapacity(capacity: Resources): void {
    this.capacity = copyAmounts(capacity);
  }

  /** Returns an independent copy for a forecast, without runs and reservations. */
  clone(): CellHost {
    const copy = new CellHost({...this.place});
    copy.capacity = copyAmounts(this.capacity);
    copy.health = this.health.clone();
    copy.isUp = this.isUp;
    copy.incarnation = this.incarnation;
    copy.isDraining = this.isDraining;
    copy.hasReported = this.hasReported;
    copy.stamp = this.stamp;
    copy.heartbeatReceivedAt = this.heartbeatReceivedAt;
    copy.grantedAt = this.grantedAt;
    copy.latencyRatio = this.latencyRatio;
    return copy;
  }
}
