import type {ViewContext} from './context.js';
import {headKey} from './head.js';
import type {Relay} from './relay.js';

/** Delay before an entry takes the watch over, so that a short reconnect moves nothing. */
const takeoverDelayMs = 2000;

/** An entry that has heard no relay for this long reads the head itself. */
const pollMs = 4000;

/** Interval of the relay's sign of life inside a data centre. */
const beatMs = 1000;

/** First reads after a start are spread over this time. */
const startSpreadMs = 200;

/** Bounds of the retry delay. Full jitter below the upper bound spreads the return of the store over 2 s. */
const retryMinMs = 250;
const retryMaxMs = 2000;

/** Time beyond its wait after which a watch counts as failed, whatever the store client does. */
const watchGuardMs = 10_000;

const defaultWatchWaitMs = 4000;

/** Decides when this entry watches or polls the head of the store. */
export class WatchDuty {
  #lowestSince: number | undefined;
  #watchExpiresAt: number | undefined;
  /** Time before which the store is not called, after a failure or the start. */
  #retryAt: number | undefined;
  #pollAt = Number.NEGATIVE_INFINITY;
  #failures = 0;
  #beatAt = Number.NEGATIVE_INFINITY;
  #polling = false;
  /** Revision of the newest head seen; 0 when none was. */
  revision = 0;

  constructor(
    private readonly context: ViewContext,
    private readonly relay: Relay,
    private readonly readHead: (at: number, done: (answered: boolean, at: number) => void) => void,
  ) {}

  /** Starts watches, polls and signs of life that are due. */
  tick(at: number): void {
    this.#retryAt ??= at + this.context.jitter.below(startSpreadMs);
    this.#updateLowest(at);
    if (this.#watchExpiresAt !== undefined && this.#watchExpiresAt <= at) this.failWatch(at);
    if (this.#isWatcher(at)) {
      this.#watchIfDue(at);
      if (this.context.storeAnswers && this.#beatAt + beatMs <= at) {
        this.#beatAt = at;
        this.relay.beat();
      }
    } else {
      this.#pollIfDue(at);
    }
  }

  /** Handles the end of a watch that the store answered. */
  finishWatch(at: number): void {
    this.#watchExpiresAt = undefined;
    this.#succeed();
    this.tick(at);
  }

  /** Handles the end of a watch without an answer. */
  failWatch(at: number): void {
    this.#watchExpiresAt = undefined;
    this.#fail(at);
  }

  #updateLowest(at: number): void {
    const {incarnation, name} = this.context.options;
    const isLowest = this.relay
      .getNeighbours()
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
    this.#watchExpiresAt = at + waitMs + watchGuardMs;
    this.context.emit({kind: 'watch', key: headKey, after: this.revision, waitMs});
  }

  #pollIfDue(at: number): void {
    const isRelayed = this.relay.heardAt + pollMs > at;
    if (this.#polling || isRelayed || this.#pollAt > at || (this.#retryAt ?? at) > at) return;
    this.#polling = true;
    this.readHead(at, (answered, answeredAt) => {
      this.#polling = false;
      if (!answered) return this.#fail(answeredAt);
      this.#succeed();
      this.#pollAt = answeredAt + pollMs * (0.75 + this.context.jitter.below(0.25));
    });
  }

  #succeed(): void {
    this.#failures = 0;
    this.context.storeAnswers = true;
  }

  #fail(at: number): void {
    this.context.storeAnswers = false;
    this.context.count('store-failed');
    const bound = Math.min(retryMaxMs, retryMinMs * 2 ** Math.min(this.#failures, 4));
    this.#failures++;
    this.#retryAt = at + retryMinMs / 2 + this.context.jitter.below(bound);
  }
}
