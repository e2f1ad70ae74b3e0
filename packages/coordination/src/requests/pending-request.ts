import type {Headers, RequestClass} from '../messages/data.js';
import type {RequestId} from '../messages/identity.js';
import type {NotRunReason} from '../messages/data.js';

/** Who waits for the outcome of a request at an entry. */
export type Client =
  | {readonly kind: 'caller'; readonly caller: number}
  /** The first entry, which forwarded the request. */
  | {readonly kind: 'entry'; peer: string; attempt: number};

/** One sending of a request to an agent or to an entry of another region. */
export interface Attempt {
  readonly number: number;
  readonly peer: string;
  readonly incarnation: number;
  readonly via: 'dispatch' | 'forward';
  readonly sentAt: number;
  readonly inFlightWhenSent: number;
  state: 'sent' | 'lost';
  lostAt: number;
  /** Retried elsewhere since; only a whole answer still counts. */
  replaced: boolean;
}

/** What has happened to a request so far. */
export interface RequestProgress {
  /** Attempts that are neither answered nor proven not run. */
  readonly attempts: Map<number, Attempt>;
  nextAttempt: number;
  /** An earlier attempt may have run without a whole answer. */
  mayHaveRun: boolean;
  /** Peers that refused or failed this request. */
  readonly avoidedPeers: Set<string>;
  wasHedged: boolean;
  /** Counted as in flight by the queue, so not queued. */
  isInFlight: boolean;
  lastReason?: NotRunReason;
}

/** Course of a request that has just arrived. */
export function createRequestProgress(): RequestProgress {
  return {
    attempts: new Map(),
    nextAttempt: 1,
    mayHaveRun: false,
    avoidedPeers: new Set(),
    wasHedged: false,
    isInFlight: false,
  };
}

/** A request between its arrival at an entry and its outcome. */
export interface PendingRequest extends RequestProgress {
  readonly id: RequestId;
  readonly key: string;
  readonly client: Client;
  readonly service: string;
  readonly class: RequestClass;
  readonly idempotent: boolean;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Uint8Array;
  readonly receivedAt: number;
  readonly deadline: number;
}

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

/** Whether a request may run more than once: by the caller's mark, else the service's, else the method. */
export function isIdempotent(
  method: string,
  marked: boolean | undefined,
  declared: readonly string[] | undefined,
): boolean {
  if (marked === true) return true;
  if (declared) return declared.includes(method);
  return idempotentMethods.has(method);
}

/** Groups requests by deadline, so that a tick looks only at those that are due. */
export class DeadlineBuckets {
  private readonly buckets = new Map<number, Set<PendingRequest>>();
  private firstIndex = -1;

  /** Adds a request. */
  add(request: PendingRequest): void {
    const index = getBucketIndex(request.deadline);
    if (this.firstIndex === -1 || index < this.firstIndex) this.firstIndex = index;
    const bucket = this.buckets.get(index);
    if (bucket) bucket.add(request);
    else this.buckets.set(index, new Set([request]));
  }

  /** Removes a request that is over. */
  remove(request: PendingRequest): void {
    const index = getBucketIndex(request.deadline);
    const bucket = this.buckets.get(index);
    bucket?.delete(request);
    if (bucket?.size === 0) this.buckets.delete(index);
  }

  /** Returns the requests whose deadline has passed; they stay until removed. */
  getDue(at: number): PendingRequest[] {
    const due: PendingRequest[] = [];
    const last = getBucketIndex(at);
    if (this.buckets.size === 0) {
      this.firstIndex = -1;
      return due;
    }
    for (let index = this.firstIndex; index <= last; index += 1) {
      for (const request of this.buckets.get(index) ?? []) {
        if (request.deadline <= at) due.push(request);
      }
    }
    // The present bucket may hold requests that are due later within it.
    this.firstIndex = last;
    return due;
  }
}

function getBucketIndex(deadline: number): number {
  return Math.floor(deadline / 16);
}
