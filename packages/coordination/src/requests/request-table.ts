import {DeadlineBuckets, type Attempt, type PendingRequest} from './pending-request.js';

const orphanRetentionMs = 60_000;

/** An attempt whose request is over while the peer may still work on it. */
export interface Orphan {
  readonly attempt: Attempt;
  readonly service: string;
  readonly since: number;
}

/** Requests without an outcome, and attempts that outlived their request. */
export class RequestTable {
  private readonly requests = new Map<string, PendingRequest>();
  private readonly callers = new Map<number, PendingRequest>();
  private readonly deadlines = new DeadlineBuckets();
  private readonly orphans = new Map<string, Orphan>();

  /** Adds a request. */
  add(request: PendingRequest): void {
    this.requests.set(request.key, request);
    this.deadlines.add(request);
    if (request.client.kind === 'caller') this.callers.set(request.client.caller, request);
  }

  /** Removes a request that has its outcome and keeps its open attempts as orphans. */
  remove(request: PendingRequest, at: number): void {
    this.requests.delete(request.key);
    this.deadlines.remove(request);
    if (request.client.kind === 'caller') this.callers.delete(request.client.caller);
    for (const attempt of request.attempts.values()) {
      const orphan = {attempt, service: request.service, since: at};
      this.orphans.set(`${request.key}#${attempt.number}`, orphan);
    }
  }

  /** Request by its key. */
  getRequest(key: string): PendingRequest | undefined {
    return this.requests.get(key);
  }

  /** Request of a caller. */
  getByCaller(caller: number): PendingRequest | undefined {
    return this.callers.get(caller);
  }

  /** Number of requests without an outcome. */
  getSize(): number {
    return this.requests.size;
  }

  /** All requests without an outcome. */
  getRequests(): IterableIterator<PendingRequest> {
    return this.requests.values();
  }

  /** Requests whose deadline has passed. */
  getDue(at: number): PendingRequest[] {
    return this.deadlines.getDue(at);
  }

  /** Removes and returns the orphan that a message answers. */
  takeOrphan(key: string, attempt: number, peer: string): Orphan | undefined {
    const name = `${key}#${attempt}`;
    const orphan = this.orphans.get(name);
    if (!orphan || orphan.attempt.peer !== peer) return undefined;
    this.orphans.delete(name);
    return orphan;
  }

  /** Removes and returns the orphans at a peer. */
  takeOrphansOf(peer: string): Orphan[] {
    return this.takeOrphansIf(orphan => orphan.attempt.peer === peer);
  }

  /** Removes and returns the orphans that will not be answered any more. */
  takeExpiredOrphans(at: number): Orphan[] {
    const expired: Orphan[] = [];
    for (const [name, orphan] of this.orphans) {
      if (at - orphan.since <= orphanRetentionMs) break;
      this.orphans.delete(name);
      expired.push(orphan);
    }
    return expired;
  }

  private takeOrphansIf(matches: (orphan: Orphan) => boolean): Orphan[] {
    const taken: Orphan[] = [];
    for (const [name, orphan] of this.orphans) {
      if (!matches(orphan)) continue;
      this.orphans.delete(name);
      taken.push(orphan);
    }
    return taken;
  }
}
