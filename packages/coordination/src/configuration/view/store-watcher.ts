import type {ViewContext} from './context.js';
import {headKey} from './head.js';
import type {Relay} from './relay.js';

/** Delay before an entry takes over the watch, so that a short reconnect of the watcher does not move it. */
const takeoverDelayMs = 2000;

/** Time without relayed messages after which an entry reads the head itself, and the longest interval of such reads. */
const pollIntervalMs = 4000;

/** Interval at which the watcher announces its version to the entries of its data centre, as a heartbeat. */
const announceIntervalMs = 1000;

/** Time over which the first reads after a start are spread. */
const startupSpreadMs = 200;

/**
 * A retry is delayed by half of `baseRetryDelayMs` plus a jitter, whose bound doubles with each failure up to
 * `maxRetryJitterMs`. The jitter spreads the calls over 2 s when the store becomes reachable again.
 */
const baseRetryDelayMs = 250;
const maxRetryJitterMs = 2000;

/** Time past its wait after which a watch counts as failed, even if the store client reports nothing. */
const watchTimeoutMarginMs = 10_000;

const defaultWatchWaitMs = 4000;

/**
 * Decides when this entry watches or polls the head in the store. In each data centre, the entry with the lowest
 * incarnation watches it and relays changes to the others.
 */
export class StoreWatcher {
  /** Time since which no connected entry of the data centre has had a lower incarnation. */
  #lowestSince: number | undefined;
  #watchExpiresAt: number | undefined;
  /** Time before which the store is not called, after a failure or at the start. */
  #retryAt: number | undefined;
  #pollAt = Number.NEGATIVE_INFINITY;
  #failures = 0;
  #announcedAt = Number.NEGATIVE_INFINITY;
  #isPolling = false;
  /** Revision of the newest head seen; 0 before the first. */
  revision = 0;

  constructor(
    private readonly context: ViewContext,
    private readonly relay: Relay,
    private readonly readHead: (at: number, done: (answered: boolean, at: number) => void) => void,
  ) {}

  /** Starts watches, polls and version announcements that are due. */
  tick(at: number): void {
    this.#retryAt ??= at + this.context.jitter.below(startupSpreadMs);
    this.#updateLowestIncarnation(at);
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

  /** Handles a watch that the store answered. */
  finishWatch(at: number): void {
    this.#watchExpiresAt = undefined;
    this.#recordSuccess();
    this.tick(at);
  }

  /** Handles a watch that failed or timed out. */
  failWatch(at: number): void {
    this.#watchExpiresAt = undefined;
    this.#recordFailure(at);
  }

  #updateLowestIncarnation(at: number): void {
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
    const jitterLimitMs = Math.min(
      maxRetryJitterMs,
      baseRetryDelayMs * 2 ** Math.min(this.#failures, 4),
    );
    this.#failures++;
    this.#retryAt = at + baseRetryDelayMs / 2 + this.context.jitter.below(jitterLimitMs);
  }
}
