import type {Headers} from '../messages/data.js';
import {getRequestKey, parseRequestKey, type RequestId} from '../messages/identity.js';

/** What became of a request that is over. */
export type KeptAnswer =
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: Headers;
      readonly body: Uint8Array;
    }
  /** It may have run, but there is no whole answer. */
  | {readonly kind: 'failed'; readonly detail: string};

interface Kept {
  answer: KeptAnswer;
  readonly at: number;
}

/** Options of `KeptAnswers`. */
export interface KeptAnswersOptions {
  readonly keepMs: number;
  readonly maxBytes: number;
  readonly maxIds: number;
}

const defaults: KeptAnswersOptions = {
  keepMs: 30_000,
  maxBytes: 8 * 1024 * 1024,
  maxIds: 100_000,
};

/**
 * Ids and answers of finished requests, and ids that were refused, for recovery and duplicates. When the bytes
 * run out the oldest bodies are dropped and their ids stay, so a duplicate is still not run again.
 */
export class KeptAnswers {
  private readonly options: KeptAnswersOptions;
  private readonly kept = new Map<string, Kept>();
  private readonly withBody = new Set<string>();
  private readonly refused = new Map<string, {attempt: number; at: number}>();
  /** Highest sequence number forgotten of each origin. */
  private readonly forgotten = new Map<number, number>();
  private bytes = 0;

  constructor(options: Partial<KeptAnswersOptions> = {}) {
    this.options = {...defaults, ...options};
  }

  /** Keeps the answer of a finished request. */
  keep(key: string, answer: KeptAnswer, at: number): void {
    this.forget(key);
    this.kept.set(key, {answer, at});
    if (answer.kind === 'answer') {
      this.withBody.add(key);
      this.bytes += answer.body.byteLength;
    }
    this.trim(at);
  }

  /** Answer of a finished request, if it is still known. */
  getAnswer(key: string): KeptAnswer | undefined {
    return this.kept.get(key)?.answer;
  }

  /**
   * What became of a request, for a recovery query. An id at or below one that was forgotten may have run, so
   * its absence from the kept ids proves nothing.
   */
  getOutcome(id: RequestId): KeptAnswer | undefined {
    const known = this.getAnswer(getRequestKey(id));
    if (known || id.sequence > (this.forgotten.get(id.origin) ?? -1)) return known;
    return {kind: 'failed', detail: 'the answer is no longer kept'};
  }

  /** Refuses attempts of a sender up to the given number from now on. */
  refuse(key: string, sender: string, attempt: number, at: number): void {
    const name = `${key}@${sender}`;
    const known = this.refused.get(name)?.attempt ?? 0;
    this.refused.delete(name);
    this.refused.set(name, {attempt: Math.max(known, attempt), at});
    this.trim(at);
  }

  /** Whether an attempt of a sender was refused. */
  isRefused(key: string, sender: string, attempt: number): boolean {
    const known = this.refused.get(`${key}@${sender}`);
    return known !== undefined && attempt <= known.attempt;
  }

  /** Forgets what is older than the keeping time. */
  trim(at: number): void {
    const {keepMs, maxBytes, maxIds} = this.options;
    for (const [key, kept] of this.kept) {
      if (at - kept.at <= keepMs && this.kept.size <= maxIds) break;
      this.markForgotten(key);
      this.forget(key);
    }
    for (const key of this.withBody) {
      if (this.bytes <= maxBytes) break;
      this.dropBody(key);
    }
    for (const [name, refusal] of this.refused) {
      if (at - refusal.at <= keepMs && this.refused.size <= maxIds) break;
      this.refused.delete(name);
    }
  }

  private markForgotten(key: string): void {
    const {origin, sequence} = parseRequestKey(key);
    const known = this.forgotten.get(origin) ?? -1;
    this.forgotten.set(origin, Math.max(known, sequence));
  }

  private dropBody(key: string): void {
    const kept = this.kept.get(key);
    this.withBody.delete(key);
    if (kept?.answer.kind !== 'answer') return;
    this.bytes -= kept.answer.body.byteLength;
    kept.answer = {kind: 'failed', detail: 'the kept answer was dropped for space'};
  }

  private forget(key: string): void {
    this.dropBody(key);
    this.kept.delete(key);
  }
}
