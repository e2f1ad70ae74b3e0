import type {ViewContext} from './context.js';
import {headKey} from './head.js';
import type {Relay} from './relay.js';

/** Delay before an entry takes the watch over, so that a short reconnect moves nothing. */
const takeoverDelayMs = 2000;

/** An entry that has heard no relay for this long reads the head itself. */
const pollIntervalMs = 4000;

/** Interval of the relay's sign of life inside a data centre. */
const announceIntervalMs = 1000;

/** First reads after a start are spread over this time. */
const startupSpreadMs = 200;

/** Bounds of the retry delay. Full jitter below the upper bound spreads the return of the store over 2 s. */
const retryMinMs = 250;
const retryMaxMs = 2000;

/** Time beyond its wait after which a watch counts as failed, whatever the store client does. */
const watchTimeoutMarginMs = 10_000;

const defaultWatchWaitMs = 4000;

/** Decides when this entry watches or polls the head of the store. */
export class StoreWatcher {
  #lowestSince: number | undefined;
  #watchExpiresAt: number | undefined;
  /** Time before which the store is not called, after a failure or the start. */
  #retryAt: number | undefined;
  #pollAt = Number.NEGATIVE_INFINITY;
  #failures = 0;
  #announcedAt = Number.NEGATIVE_INFINITY;
  #isPolling = false;
  /** Revision of the newest head seen; 0 when none was. */
  revision = 0;

  constructor(
    private readonly context: ViewContext,
    private readonly relay: Relay,
    private readonly readHead: (at: number, done: (answered: boolean, at: number) => void) => void,
  ) {}

  /** Starts watches, polls and signs of life that are due. */
  tick(at: number): void {
    this.#retryAt ??= at + this.context.jitter.below(startupSpreadMs);
    this.#updateLowest(at);
    if (this.#watchExpiresAt !== undefined && this.#watchExpiresAt <= at) this.failWatch(at);
    if (this.#isWatcher(at)) {
      this.#watchIfDue(at);
      if (this.context.isStoreReachable && this.#announcedAt + announceIntervalMs <= at) {
        this.#announcedAt = at;
        this.relay.announceToLocalEntries();
      }
    } else {
      this.#pollIfDue(at);
    }
  }

  /** Handles the end of a watch that the store answered. */
  finishWatch(at: number): void {
    this.#watchExpiresAt = undefined;
    this.#recordSuccess();
    this.tick(at);
  }

  /** Handles the end of a watch without an answer. */
  failWatch(at: number): void {
    this.#watchExpiresAt = undefined;
    this.#recordFailure(at);
  }

  #updateLowest(at: number): void {
    const {incarnation, name} = this.context.options;
    const isLowest = this.relay
      .getLocalEntries()
      .every(
        hello =>
          hello.incarnation > incarnation ||
          (hello.incarnation === incarnation && hello.name >= name),
      );
    if (!isLowest) this.#lowestSince = undefined;
    else this.#lowestSince ??= at;
  }

  #isWatcher(at: number): boolean {
    return this.#lowestSince !== undefined && this.#lowestSince + takeoverDelayMs <= at;
  }

  #watchIfDue(at: number): void {
    if (this.#watchExpiresAt !== undefined || (this.#retryAt ?? at) > at) return;
    const waitMs = this.context.options.watchWaitMs ?? defaultWatchWaitMs;
    this.#watchExpiresAt = at + waitMs + watchTimeoutMarginMs;
    this.context.emit({kind: 'watch', key: headKey, after: this.revision, waitMs});
  }

  #pollIfDue(at: number): void {
    const isRelayed = this.relay.localMessageAt + pollIntervalMs > at;
    if (this.#isPolling || isRelayed || this.#pollAt > at || (this.#retryAt ?? at) > at) return;
    this.#isPolling = true;
    this.readHead(at, (answered, answeredAt) => {
      this.#isPolling = false;
      if (!answered) return this.#recordFailure(answeredAt);
      this.#recordSuccess();
      this.#pollAt = answeredAt + pollIntervalMs * (0.75 + this.context.jitter.below(0.25));
    });
  }

  #recordSuccess(): void {
    this.#failures = 0;
    this.context.isStoreReachable = true;
  }

  #recordFailure(at: number): void {
    this.context.isStoreReachable = false;
    this.context.count('store-failed');
    const maxJitterMs = Math.min(retryMaxMs, retryMinMs * 2 ** Math.min(this.#failures, 4));
    this.#failures++;
    this.#retryAt = at + retryMinMs / 2 + this.context.jitter.below(maxJitterMs);
  }
}
