import type {ChangeLog} from './change-log.js';
import type {ConfigurationEffect, ConfigurationViewOptions, StoreAnswer} from './events.js';
import {headKey} from './head.js';
import type {Jitter} from './jitter.js';

/** A call without an answer for this long counts as lost, whatever the store client does. */
const callTimeoutMs = 10_000;

/** Receives the answer to a store call. */
export type AnswerHandler = (answer: StoreAnswer, at: number) => void;

interface OutstandingCall {
  readonly handler: AnswerHandler;
  readonly expiresAt: number;
}

/** What the parts of `ConfigurationView` share: options, the log, effects and store calls. */
export class ViewContext {
  readonly #calls = new Map<number, OutstandingCall>();
  #effects: ConfigurationEffect[] = [];
  #nextRequest = 1;
  /** Whether the last store call or watch of this process was answered. */
  isStoreReachable = false;

  constructor(
    readonly options: ConfigurationViewOptions,
    readonly log: ChangeLog,
    readonly jitter: Jitter,
  ) {}

  /** Adds an effect to the answer of the current event. */
  emit(effect: ConfigurationEffect): void {
    this.#effects.push(effect);
  }

  /** Counts an occurrence. */
  count(name: string): void {
    this.emit({kind: 'count', name: `configuration.${name}`, by: 1});
  }

  /** Adds a step of a configuration version to the timeline. */
  record(version: number | undefined, step: string, detail?: string): void {
    const id = version === undefined ? '' : `${version}`;
    const subject = version === undefined ? 'process' : 'configuration';
    const event = {subject, id, step, ...(detail !== undefined && {detail})} as const;
    this.emit({kind: 'record', event});
  }

  /** Returns the effects of the current event. */
  takeEffects(): readonly ConfigurationEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Reads the head. */
  readHead(at: number, handler: AnswerHandler): void {
    const request = this.#open(at, handler);
    this.emit({kind: 'read-head', request, key: headKey});
  }

  /** Replaces the head if it still has the expected revision. */
  swapHead(value: unknown, expectedRevision: number, at: number, handler: AnswerHandler): void {
    const request = this.#open(at, handler);
    this.emit({kind: 'swap-head', request, key: headKey, value, expectedRevision});
  }

  /** Reads one snapshot part. */
  readSnapshot(key: string, at: number, handler: AnswerHandler): void {
    this.emit({kind: 'read-snapshot', request: this.#open(at, handler), key});
  }

  /** Writes one snapshot part if the key has the expected revision. */
  writeSnapshot(
    key: string,
    value: unknown,
    expectedRevision: number,
    at: number,
    handler: AnswerHandler,
  ): void {
    const request = this.#open(at, handler);
    this.emit({kind: 'write-snapshot', request, key, value, expectedRevision});
  }

  /** Passes an answer to whoever made the call; answers to closed calls are dropped. */
  settle(request: number, answer: StoreAnswer, at: number): void {
    const call = this.#calls.get(request);
    if (!call) return;
    this.#calls.delete(request);
    this.isStoreReachable = answer.result === 'ok' || answer.result === 'mismatch';
    call.handler(answer, at);
  }

  /** Closes calls whose answer never came. */
  expireCalls(at: number): void {
    for (const [request, call] of this.#calls) {
      if (call.expiresAt <= at) this.settle(request, {result: 'unknown'}, at);
    }
  }

  #open(at: number, handler: AnswerHandler): number {
    const request = this.#nextRequest++;
    this.#calls.set(request, {handler, expiresAt: at + callTimeoutMs});
    return request;
  }
}
