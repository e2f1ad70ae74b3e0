/** A call to the store, other than a watch. */
export type StoreCall =
  | {readonly kind: 'read'; readonly key: string}
  | {
      readonly kind: 'write';
      readonly key: string;
      /** JSON text of the value. */
      readonly text: string;
      /** Revision that the key must have (compare-and-swap); 0 when it must be absent; undefined for any. */
      readonly expect: number | undefined;
      readonly lease?: string;
    }
  | {readonly kind: 'open-lease'; readonly ttlMs: number}
  | {readonly kind: 'renew-lease'; readonly lease: string}
  | {readonly kind: 'close-lease'; readonly lease: string};

/** Answer of the store: an HTTP status and the fields of its body. */
export interface StoreReply {
  readonly status: number;
  readonly revision?: number;
  /** JSON text of the value. */
  readonly text?: string;
  readonly lease?: string;
  readonly error?: string;
}

/** Rate and size limits of the store. */
export interface StoreLimits {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** Largest size of a value as JSON text. */
  readonly valueBytes: number;
}

/** Limits that the platform documents: several hundred writes and 2000 reads per second, values up to 1 MB. */
export const defaultStoreLimits: StoreLimits = {
  writesPerSecond: 400,
  readsPerSecond: 2000,
  valueBytes: 1_000_000,
};

interface Entry {
  readonly text: string | undefined;
  readonly revision: number;
  readonly lease: string | undefined;
}

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
  readonly keys: Set<string>;
}

/** Rate limiter that allows bursts of up to one second's worth of calls. */
class TokenBucket {
  #tokens: number;
  #refilledAtMs = 0;

  constructor(private readonly ratePerSecond: number) {
    this.#tokens = ratePerSecond;
  }

  tryTake(at: number): boolean {
    this.#tokens = Math.min(
      this.ratePerSecond,
      this.#tokens + ((at - this.#refilledAtMs) / 1000) * this.ratePerSecond,
    );
    this.#refilledAtMs = at;
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}

/**
 * Contents and rules of the store, without sockets or a clock, so that tests can run it in virtual time. All `at`
 * parameters are times in milliseconds on the caller's clock.
 */
export class StoreState {
  readonly #entries = new Map<string, Entry>();
  readonly #leases = new Map<string, Lease>();
  readonly #listeners = new Map<string, Set<() => void>>();
  readonly #counts = {reads: 0, writes: 0, leaseCalls: 0, watches: 0, limited: 0};
  #writes: TokenBucket;
  #reads: TokenBucket;
  #revision = 0;
  #nextLease = 1;

  constructor(private limits: StoreLimits = defaultStoreLimits) {
    this.#writes = new TokenBucket(limits.writesPerSecond);
    this.#reads = new TokenBucket(limits.readsPerSecond);
  }

  /** Number of calls by kind, and of calls refused by the rate limits. A watch counts once, however long it waits. */
  get counts(): Readonly<
    Record<'reads' | 'writes' | 'leaseCalls' | 'watches' | 'limited', number>
  > {
    return this.#counts;
  }

  /** Replaces the limits and refills both token buckets. */
  setLimits(limits: StoreLimits): void {
    this.limits = limits;
    this.#writes = new TokenBucket(limits.writesPerSecond);
    this.#reads = new TokenBucket(limits.readsPerSecond);
  }

  /** Carries out a call, or refuses it with 429 above the rate limits. Lease calls count as writes. */
  call(call: StoreCall, at: number): StoreReply {
    this.expire(at);
    if (call.kind === 'read') this.#counts.reads++;
    else if (call.kind === 'write') this.#counts.writes++;
    else this.#counts.leaseCalls++;
    const bucket = call.kind === 'read' ? this.#reads : this.#writes;
    if (!bucket.tryTake(at)) return this.#rejectOverLimit();
    switch (call.kind) {
      case 'read':
        return this.#get(call.key);
      case 'write':
        return this.#write(call);
      case 'open-lease':
        return this.#openLease(call.ttlMs, at);
      case 'renew-lease':
        return this.#renewLease(call.lease, at);
      case 'close-lease':
        return this.#closeLease(call.lease);
    }
  }

  /**
   * Begins a watch: returns the key if its revision is above `after`, a 429 above the rate limit, and else undefined. Use
   * `onChange` to wait.
   */
  beginWatch(key: string, after: number, at: number): StoreReply | undefined {
    this.expire(at);
    this.#counts.watches++;
    if (!this.#reads.tryTake(at)) return this.#rejectOverLimit();
    const entry = this.#entries.get(key);
    return entry && entry.revision > after ? this.#get(key, true) : undefined;
  }

  /** Calls the listener at every change of the key. Returns a function that removes the listener. */
  onChange(key: string, listener: () => void): () => void {
    const listeners = this.#listeners.get(key) ?? new Set();
    this.#listeners.set(key, listeners);
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  /** Returns the key as a watch returns it, without counting a call. */
  peek(key: string): StoreReply {
    return this.#get(key, true);
  }

  /** Ends expired leases and removes their keys. */
  expire(at: number): void {
    for (const [id, lease] of this.#leases) if (lease.expiresAt <= at) this.#endLease(id, lease);
  }

  #rejectOverLimit(): StoreReply {
    this.#counts.limited++;
    return {status: 429, error: 'rate limit'};
  }

  /** Reads a key. A removed key has revision 0, but for a watch it has the revision of its removal. */
  #get(key: string, isWatch = false): StoreReply {
    const entry = this.#entries.get(key);
    if (entry?.text !== undefined) return {status: 200, revision: entry.revision, text: entry.text};
    return {status: 200, revision: isWatch ? (entry?.revision ?? 0) : 0, text: 'null'};
  }

  #write(call: Extract<StoreCall, {kind: 'write'}>): StoreReply {
    if (Buffer.byteLength(call.text) > this.limits.valueBytes) {
      return {status: 413, error: `value larger than ${this.limits.valueBytes} bytes`};
    }
    const present = this.#get(call.key).revision ?? 0;
    if (call.expect !== undefined && call.expect !== present) {
      return {status: 409, revision: present, error: 'revision mismatch'};
    }
    const lease = call.lease === undefined ? undefined : this.#leases.get(call.lease);
    if (call.lease !== undefined && !lease) return {status: 409, error: 'lease has lapsed'};
    const previous = this.#entries.get(call.key)?.lease;
    if (previous !== undefined) this.#leases.get(previous)?.keys.delete(call.key);
    lease?.keys.add(call.key);
    this.#set(call.key, call.text, call.lease);
    return {status: 200, revision: this.#revision};
  }

  #openLease(ttlMs: number, at: number): StoreReply {
    const id = `lease-${this.#nextLease++}`;
    this.#leases.set(id, {ttlMs, expiresAt: at + ttlMs, keys: new Set()});
    return {status: 201, lease: id, revision: this.#revision};
  }

  #renewLease(id: string, at: number): StoreReply {
    const lease = this.#leases.get(id);
    if (!lease) return {status: 404, error: 'lease has lapsed'};
    lease.expiresAt = at + lease.ttlMs;
    return {status: 200, lease: id, revision: this.#revision};
  }

  #closeLease(id: string): StoreReply {
    const lease = this.#leases.get(id);
    if (!lease) return {status: 404, error: 'lease has lapsed'};
    this.#endLease(id, lease);
    return {status: 200, revision: this.#revision};
  }

  #endLease(id: string, lease: Lease): void {
    this.#leases.delete(id);
    for (const key of lease.keys) this.#set(key, undefined, undefined);
  }

  #set(key: string, text: string | undefined, lease: string | undefined): void {
    this.#revision++;
    this.#entries.set(key, {text, revision: this.#revision, lease});
    for (const listener of [...(this.#listeners.get(key) ?? [])]) listener();
  }
}
