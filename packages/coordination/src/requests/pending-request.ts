import type {Headers, RequestClass} from '../messages/data.js';
import type {RequestId} from '../messages/identity.js';

/** Sender of a request, which receives its outcome. */
export type Client =
  | {readonly kind: 'caller'; readonly caller: number}
  /** The entry that forwarded the request. */
  | {readonly kind: 'entry'; peer: string; attempt: number};

/** One attempt to run a request, sent to an agent or forwarded to another entry. */
export interface Attempt {
  readonly number: number;
  readonly peer: string;
  readonly incarnation: number;
  readonly via: 'dispatch' | 'forward';
  readonly sentAt: number;
  /** Attempts of this entry at the host when this one was sent, including itself; 0 for a forward. */
  readonly inFlightWhenSent: number;
  state: 'sent' | 'lost';
  lostAt: number;
  /** The request was retried elsewhere since; only a complete answer to this attempt still counts. */
  replaced: boolean;
}

/** Progress of a pending request. */
export interface RequestProgress {
  /** Attempts that are neither answered nor known not to have run. */
  readonly attempts: Map<number, Attempt>;
  nextAttempt: number;
  /** An earlier attempt may have run without a complete answer. */
  mayHaveRun: boolean;
  /** Peers that refused or failed this request, or were suspected or disconnected while it was sent to them. */
  readonly avoidedPeers: Set<string>;
  wasHedged: boolean;
  /** Taken from the queue and counted there as in flight; otherwise the request is queued. */
  isInFlight: boolean;
}

/** Creates the progress of a newly received request. */
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

/** A request at an entry that has no outcome yet. */
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

/**
 * Whether a request may run more than once: if the caller marked it as idempotent, or its method is among those that
 * the service declares as idempotent, or that HTTP defines as idempotent when the service declares none.
 */
export function isIdempotent(
  method: string,
  isMarkedIdempotent: boolean | undefined,
  declared: readonly string[] | undefined,
): boolean {
  if (isMarkedIdempotent === true) return true;
  if (declared) return declared.includes(method);
  return idempotentMethods.has(method);
}

/** Groups requests into buckets of 16 ms by deadline, so that a tick only checks those that may be due. */
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

  /** Removes a request that has ended. */
  remove(request: PendingRequest): void {
    const index = getBucketIndex(request.deadline);
    const bucket = this.buckets.get(index);
    bucket?.delete(request);
    if (bucket?.size === 0) this.buckets.delete(index);
  }

  /** Returns the requests whose deadline has passed; they stay until removed. */
  getExpired(at: number): PendingRequest[] {
    const expired: PendingRequest[] = [];
    const last = getBucketIndex(at);
    if (this.buckets.size === 0) {
      this.firstIndex = -1;
      return expired;
    }
    for (let index = this.firstIndex; index <= last; index += 1) {
      for (const request of this.buckets.get(index) ?? []) {
        if (request.deadline <= at) expired.push(request);
      }
    }
    // The current bucket may hold requests that are due later within it.
    this.firstIndex = last;
    return expired;
  }
}

function getBucketIndex(deadline: number): number {
  return Math.floor(deadline / 16);
}
