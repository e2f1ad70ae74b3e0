import type {ChangeLog} from './change-log.js';
import type {ConfigurationEffect, ConfigurationViewOptions, StoreAnswer} from './events.js';
import {headKey} from './head.js';
import type {Jitter} from './jitter.js';

/** Time after which an unanswered call counts as lost, even if the store client never reports a timeout. */
const callTimeoutMs = 10_000;

/** Handles the answer to a store call that arrived at the given monotonic time. */
export type AnswerHandler = (answer: StoreAnswer, at: number) => void;

interface OutstandingCall {
  readonly handler: AnswerHandler;
  readonly expiresAt: number;
}

/** State shared by the components of `ConfigurationView`: options, change log, effects and store calls. */
export class ViewContext {
  readonly #calls = new Map<number, OutstandingCall>();
  #effects: ConfigurationEffect[] = [];
  #nextRequest = 1;
  /** Whether the store answered the last call or watch of this process; a refused call counts as unanswered. */
  isStoreReachable = false;

  constructor(
    readonly options: ConfigurationViewOptions,
    readonly log: ChangeLog,
    readonly jitter: Jitter,
  ) {}

  /** Adds an effect to those returned for the current event. */
  emit(effect: ConfigurationEffect): void {
    this.#effects.push(effect);
  }

  /** Increments the counter `configuration.<name>`. */
  count(name: string): void {
    this.emit({kind: 'count', name: `configuration.${name}`, by: 1});
  }

  /** Records a step of a configuration version, or of the process without a version, in the timeline. */
  record(version: number | undefined, step: string, detail?: string): void {
    const id = version === undefined ? '' : `${version}`;
    const subject = version === undefined ? 'process' : 'configuration';
    const event = {subject, id, step, ...(detail !== undefined && {detail})} as const;
    this.emit({kind: 'record', event});
  }

  /** Returns and clears the effects of the current event. */
  takeEffects(): readonly ConfigurationEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Reads the head of the log from the store. */
  readHead(at: number, handler: AnswerHandler): void {
    const request = this.#trackCall(at, handler);
    this.emit({kind: 'read-head', request, key: headKey});
  }

  /** Replaces the head by compare-and-swap on its revision. */
  swapHead(value: unknown, expectedRevision: number, at: number, handler: AnswerHandler): void {
    const request = this.#trackCall(at, handler);
    this.emit({kind: 'swap-head', request, key: headKey, value, expectedRevision});
  }

  /** Reads one snapshot part. */
  readSnapshot(key: string, at: number, handler: AnswerHandler): void {
    this.emit({kind: 'read-snapshot', request: this.#trackCall(at, handler), key});
  }

  /** Writes one snapshot part by compare-and-swap on the revision of its key. */
  writeSnapshot(
    key: string,
    value: unknown,
    expectedRevision: number,
    at: number,
    handler: AnswerHandler,
  ): void {
    const request = this.#trackCall(at, handler);
    this.emit({kind: 'write-snapshot', request, key, value, expectedRevision});
  }

  /** Passes an answer to the handler of its call. Answers to expired calls are dropped. */
  settle(request: number, answer: StoreAnswer, at: number): void {
    const call = this.#calls.get(request);
    if (!call) return;
    this.#calls.delete(request);
    this.isStoreReachable = answer.result === 'ok' || answer.result === 'mismatch';
    call.handler(answer, at);
  }

  /** Settles calls past their timeout as `unknown`. */
  expireCalls(at: number): void {
    for (const [request, call] of this.#calls) {
      if (call.expiresAt <= at) this.settle(request, {result: 'unknown'}, at);
    }
  }

  #trackCall(at: number, handler: AnswerHandler): number {
    const request = this.#nextRequest++;
    this.#calls.set(request, {handler, expiresAt: at + callTimeoutMs});
    return request;
  }
}
