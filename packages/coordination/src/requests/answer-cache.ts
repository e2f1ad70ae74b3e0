import type {Headers} from '../messages/data.js';
import {getRequestKey, parseRequestKey, type RequestId} from '../messages/identity.js';

/** Cached outcome of a finished request. */
export type CachedAnswer =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: Headers;
      readonly body: Uint8Array;
    }
  /** The request may have run, but there is no complete answer. */
  | {readonly kind: 'failed'; readonly detail: string};

interface CacheEntry {
  answer: CachedAnswer;
  readonly at: number;
}

/** Options of `AnswerCache`. */
export interface AnswerCacheOptions {
  /** Time for which finished requests and refused attempts are kept. */
  readonly retentionMs: number;
  /** Maximum total size of the cached bodies. */
  readonly maxBytes: number;
  /** Maximum number of finished requests, and also of refused attempts. */
  readonly maxIds: number;
}

const defaults: AnswerCacheOptions = {
  retentionMs: 30_000,
  maxBytes: 8 * 1024 * 1024,
  maxIds: 100_000,
};

/**
 * Cache of answers to finished requests and of refused ids, for recovery queries and deduplication. When `maxBytes`
 * is exceeded, the oldest bodies are evicted but their ids stay, so that a duplicate still does not run again.
 */
export class AnswerCache {
  private readonly options: AnswerCacheOptions;
  private readonly cached = new Map<string, CacheEntry>();
  private readonly keysWithBody = new Set<string>();
  private readonly refused = new Map<string, {attempt: number; at: number}>();
  /** Highest sequence number that was evicted, by origin. */
  private readonly highestEvicted = new Map<number, number>();
  private bytes = 0;

  constructor(options: Partial<AnswerCacheOptions> = {}) {
    this.options = {...defaults, ...options};
  }

  /** Keeps the answer of a finished request. */
  add(key: string, answer: CachedAnswer, at: number): void {
    this.delete(key);
    this.cached.set(key, {answer, at});
    if (answer.kind === 'answer') {
      this.keysWithBody.add(key);
      this.bytes += answer.body.byteLength;
    }
    this.trim(at);
  }

  /** Answer of a finished request, if it is still cached. */
  getAnswer(key: string): CachedAnswer | undefined {
    return this.cached.get(key)?.answer;
  }

  /**
   * Returns the outcome of a request for a recovery query, or undefined if the request has not finished. A request at
   * or below an evicted sequence number may have run although it is not cached, so it counts as failed.
   */
  getOutcome(id: RequestId): CachedAnswer | undefined {
    const cachedAnswer = this.getAnswer(getRequestKey(id));
    if (cachedAnswer || id.sequence > (this.highestEvicted.get(id.origin) ?? -1))
      return cachedAnswer;
    return {kind: 'failed', detail: 'the answer is no longer kept'};
  }

  /** Refuses attempts of a sender up to the given number from now on. */
  refuse(key: string, sender: string, attempt: number, at: number): void {
    const name = `${key}@${sender}`;
    const previousAttempt = this.refused.get(name)?.attempt ?? 0;
    this.refused.delete(name);
    this.refused.set(name, {attempt: Math.max(previousAttempt, attempt), at});
    this.trim(at);
  }

  /** Whether an attempt of a sender was refused. */
  isRefused(key: string, sender: string, attempt: number): boolean {
    const refusal = this.refused.get(`${key}@${sender}`);
    return refusal !== undefined && attempt <= refusal.attempt;
  }

  /** Deletes entries older than `retentionMs` and evicts what exceeds the limits. */
  trim(at: number): void {
    const {retentionMs, maxBytes, maxIds} = this.options;
    for (const [key, entry] of this.cached) {
      if (at - entry.at <= retentionMs && this.cached.size <= maxIds) break;
      this.recordEviction(key);
      this.delete(key);
    }
    for (const key of this.keysWithBody) {
      if (this.bytes <= maxBytes) break;
      this.evictBody(key);
    }
    for (const [name, refusal] of this.refused) {
      if (at - refusal.at <= retentionMs && this.refused.size <= maxIds) break;
      this.refused.delete(name);
    }
  }

  private recordEviction(key: string): void {
    const {origin, sequence} = parseRequestKey(key);
    const highestSequence = this.highestEvicted.get(origin) ?? -1;
    this.highestEvicted.set(origin, Math.max(highestSequence, sequence));
  }

  private evictBody(key: string): void {
    const entry = this.cached.get(key);
    this.keysWithBody.delete(key);
    if (entry?.answer.kind !== 'answer') return;
    this.bytes -= entry.answer.body.byteLength;
    entry.answer = {kind: 'failed', detail: 'the kept answer was dropped for space'};
  }

  private delete(key: string): void {
    this.evictBody(key);
    this.cached.delete(key);
  }
}
