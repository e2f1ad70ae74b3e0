import type {WorkerDescription, WorkerIncarnation} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {isFromIncarnation, type WorkerPort} from './worker-port.js';

/** Delay in milliseconds before a worker that has not answered is asked again. */
const retryDelayMs = 250;
/** Number of times that a worker is asked for one heartbeat; the next heartbeat starts anew. */
const maxAttempts = 6;
/** Largest number of descriptions that wait for an answer; the oldest is dropped for a newer one. */
const maxPending = 8;

/** Options of `WorkerConfirmation`. */
export interface WorkerConfirmationOptions {
  readonly worker: WorkerPort;
  readonly log: DecisionLogger;
  /** Returns the fencing token with which the worker is asked; 0 before there is an owner. */
  readonly getToken: () => number;
  /** Called with the latest description of an incarnation once the worker on this host has answered as it. */
  readonly onConfirmed: (worker: WorkerDescription) => void;
}

/**
 * Checks that heartbeats of another incarnation come from the worker on this host, by asking the worker itself. A
 * heartbeat may be late or come from another writer; neither proves that the present incarnation has ended.
 */
export class WorkerConfirmation {
  private readonly pending = new Map<WorkerIncarnation, WorkerDescription>();
  private readonly asked = new Set<WorkerIncarnation>();

  constructor(private readonly options: WorkerConfirmationOptions) {}

  /** Adds the description of an incarnation; the worker is asked at once if there is an owner. */
  add(worker: WorkerDescription): void {
    const present = this.pending.get(worker.life);
    if (present === undefined && this.pending.size >= maxPending) {
      const [oldest] = this.pending.keys();
      if (oldest !== undefined) this.pending.delete(oldest);
    }
    if (present === undefined || present.service === worker.service) {
      this.pending.set(worker.life, worker);
    }
    void this.ask(worker.life);
  }

  /** Asks for all incarnations that are waiting; called when the owner becomes known. */
  resume(): void {
    for (const life of this.pending.keys()) void this.ask(life);
  }

  /** Drops all incarnations that are waiting; answers that are on their way are ignored. */
  clear(): void {
    this.pending.clear();
  }

  private async ask(life: WorkerIncarnation): Promise<void> {
    const {getToken, worker: port, log, onConfirmed} = this.options;
    if (getToken() === 0 || this.asked.has(life)) return;
    this.asked.add(life);
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const worker = this.pending.get(life);
      if (worker === undefined) break;
      const reply = await port.hold(worker.id, {token: getToken(), acknowledged: 0});
      const latest = this.pending.get(life);
      if (latest === undefined) break;
      if (reply.kind === 'listed' && isFromIncarnation(reply, latest)) {
        this.pending.delete(life);
        onConfirmed(latest);
        break;
      }
      if (reply.kind === 'listed' || reply.kind === 'other-life') {
        this.pending.delete(life);
        log.log('worker-unconfirmed', {worker: life, service: latest.service});
        break;
      }
      await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
    this.asked.delete(life);
  }
}
