import {DeadlineBuckets, type Attempt, type PendingRequest} from './pending-request.js';

/** Time after which an orphan is no longer expected to be answered. */
const orphanRetentionMs = 60_000;

/** An unanswered attempt whose request has ended; the peer may still be running it. */
export interface Orphan {
  readonly attempt: Attempt;
  readonly service: string;
  readonly orphanedAt: number;
}

/** Pending requests, and orphaned attempts of requests that have ended. */
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

  /** Removes a request that has ended and keeps its unanswered attempts as orphans. */
  remove(request: PendingRequest, at: number): void {
    this.requests.delete(request.key);
    this.deadlines.remove(request);
    if (request.client.kind === 'caller') this.callers.delete(request.client.caller);
    for (const attempt of request.attempts.values()) {
      const orphan = {attempt, service: request.service, orphanedAt: at};
      this.orphans.set(`${request.key}#${attempt.number}`, orphan);
    }
  }

  /** Pending request by its key. */
  getRequest(key: string): PendingRequest | undefined {
    return this.requests.get(key);
  }

  /** Pending request of a caller. */
  getByCaller(caller: number): PendingRequest | undefined {
    return this.callers.get(caller);
  }

  /** Number of pending requests. */
  getSize(): number {
    return this.requests.size;
  }

  /** All pending requests. */
  getRequests(): IterableIterator<PendingRequest> {
    return this.requests.values();
  }

  /** Pending requests whose deadline has passed. */
  getExpired(at: number): PendingRequest[] {
    return this.deadlines.getExpired(at);
  }

  /** Removes and returns the orphan that a message answers. */
  takeOrphan(key: string, attempt: number, peer: string): Orphan | undefined {
    const name = `${key}#${attempt}`;
    const orphan = this.orphans.get(name);
    if (!orphan || orphan.attempt.peer !== peer) return undefined;
    this.orphans.delete(name);
    return orphan;
  }

  /** Removes and returns the orphans of a peer. */
  takeOrphansOf(peer: string): Orphan[] {
    return this.takeOrphansIf(orphan => orphan.attempt.peer === peer);
  }

  /** Removes and returns the orphans that are older than `orphanRetentionMs`. */
  takeExpiredOrphans(at: number): Orphan[] {
    const expired: Orphan[] = [];
    for (const [name, orphan] of this.orphans) {
      if (at - orphan.orphanedAt <= orphanRetentionMs) break;
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
