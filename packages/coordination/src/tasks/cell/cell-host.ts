import type {Resources} from '../../messages/identity.js';
import {addAmounts, copyAmounts, createAmounts, type Amounts} from '../amounts.js';
import type {TaskRun} from './task-run.js';
import {taskHeartbeatMs} from '../timing.js';
import {WorkerHealth} from '../round/worker-health.js';

/** Age of the newest heartbeat from which a host gets no new tasks: two heartbeats were missed. */
export const staleHeartbeatMs = 2 * taskHeartbeatMs;

/** Where a host stands and what it offers. */
export interface HostPlace {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  rack: string;
}

/** What a cell scheduler knows of one host. */
export class CellHost {
  /** Capacity of the newest announcement; zero before the first. */
  capacity: Amounts = createAmounts();
  /** Reservations of the runs on the host. */
  readonly used: Amounts = createAmounts();
  /** Runs on the host, by task id. */
  readonly runs = new Map<string, TaskRun>();
  /** Success record of the worker. */
  health = new WorkerHealth();
  up = false;
  incarnation = 0;
  /** The announcement says that the host leaves. */
  leaving = false;
  /** Whether the host sent a full report in the present term, after which leases may be extended. */
  reported = false;
  /** Stamp of the newest heartbeat on the agent's clock; absent before the first. */
  stamp?: number;
  /** Time of receipt of that heartbeat. */
  stampAt = Number.NEGATIVE_INFINITY;
  /** Time of receipt of the newest heartbeat whose stamp was echoed. */
  grantedAt = Number.NEGATIVE_INFINITY;
  /** Latest ratio of service latency to its value alone. */
  latencyRatio?: number;

  constructor(readonly place: HostPlace) {}

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

  /** Whether new tasks may start, apart from drains and suspension. */
  isReachable(at: number): boolean {
    return (
      this.up && this.reported && this.stamp !== undefined && at - this.stampAt < staleHeartbeatMs
    );
  }

  /** Sets the capacity. */
  setCapacity(capacity: Resources): void {
    this.capacity = copyAmounts(capacity);
  }

  /** Returns an independent copy for a forecast. Runs are copied. */
  clone(): CellHost {
    const copy = new CellHost({...this.place});
    copy.capacity = copyAmounts(this.capacity);
    copy.health = this.health.clone();
    copy.up = this.up;
    copy.incarnation = this.incarnation;
    copy.leaving = this.leaving;
    copy.reported = this.reported;
    copy.stamp = this.stamp;
    copy.stampAt = this.stampAt;
    copy.grantedAt = this.grantedAt;
    copy.latencyRatio = this.latencyRatio;
    return copy;
  }
}
