import type {ConfigurationChange} from '../document.js';
import type {ViewContext} from './context.js';
import type {ConfirmationOutcome, ConfirmedPlan, StoreAnswer} from './events.js';
import type {Head} from './head.js';

/** Time after which a pending confirmation is answered with `unknown` or `unavailable`. */
export const confirmationTimeoutMs = 5000;

/** Shortest delay before a store call is retried; up to the same time is added as jitter. */
const minRetryDelayMs = 100;

interface PendingConfirmation {
  readonly request: number;
  readonly plan: ConfirmedPlan;
  readonly startedAt: number;
  /** Whether the effect of a swap that was sent is not known. */
  isSwapUnknown: boolean;
  retryAt?: number;
}

/** Operations of the view that confirmations use. */
export interface HeadAccess {
  /** Applies a head that was read. Returns undefined when the value is malformed. */
  acceptHead(value: unknown, revision: number, at: number): Head | undefined;
  /** Applies a head that this process has written. */
  acceptOwnHead(head: Head, revision: number, at: number): void;
  /** Returns whether the log must be compacted before the change fits. */
  isFull(head: Head, change: ConfigurationChange): boolean;
  /** Compacts the log and calls back when that has ended, whether or not it succeeded. */
  compact(at: number, done: (at: number) => void): void;
}

/** Appends confirmed plans to the log of changes by compare-and-swap on the head. */
export class Confirmations {
  readonly #pending = new Map<number, PendingConfirmation>();

  constructor(
    private readonly context: ViewContext,
    private readonly access: HeadAccess,
  ) {}

  /** Starts a confirmation. Its outcome is emitted as a `confirmed` effect. */
  start(request: number, plan: ConfirmedPlan, at: number): void {
    const pending: PendingConfirmation = {request, plan, startedAt: at, isSwapUnknown: false};
    this.#pending.set(request, pending);
    if (this.context.options.role === 'agent') return this.#finish(pending, 'unavailable', at);
    const accepted = this.context.log.getChange(plan.planId);
    if (accepted) return this.#finish(pending, 'accepted', at, {version: accepted.version});
    this.#read(pending, at);
  }

  /** Retries calls that are due and ends confirmations past their timeout. */
  tick(at: number): void {
    for (const pending of this.#pending.values()) {
      if (pending.startedAt + confirmationTimeoutMs <= at) {
        this.#giveUp(pending, at);
      } else if (pending.retryAt !== undefined && pending.retryAt <= at) {
        pending.retryAt = undefined;
        this.#read(pending, at);
      }
    }
  }

  #read(pending: PendingConfirmation, at: number): void {
    this.context.readHead(at, (answer, answeredAt) => {
      if (!this.#pending.has(pending.request)) return;
      if (answer.result === 'ok') this.#decide(pending, answer.value, answer.revision, answeredAt);
      else this.#handleFailure(pending, answer, answeredAt);
    });
  }

  /** Accepts, refuses or retries a confirmation according to the head that was read, or appends its change. */
  #decide(pending: PendingConfirmation, value: unknown, revision: number, at: number): void {
    const {plan} = pending;
    const head = this.access.acceptHead(value, revision, at);
    if (!head) return this.#giveUp(pending, at);
    const accepted =
      head.changes.find(change => change.changeId === plan.planId) ??
      this.context.log.getChange(plan.planId);
    if (accepted) return this.#finish(pending, 'accepted', at, {version: accepted.version});
    // A head older than a known version is a stale read; appending to it would fork the log.
    if (head.version < Math.max(this.context.log.version, plan.baseVersion)) {
      this.context.count('stale-confirmation');
      return this.#scheduleRetry(pending, at);
    }
    if (head.version > plan.baseVersion) return this.#refuse(pending, head, at);
    const change: ConfigurationChange = {
      version: head.version + 1,
      changeId: plan.planId,
      author: plan.author,
      operations: plan.operations,
    };
    if (this.access.isFull(head, change)) {
      this.access.compact(at, compactedAt => {
        if (this.#pending.has(pending.request)) this.#scheduleRetry(pending, compactedAt);
      });
      return;
    }
    this.#swap(pending, head, change, revision, at);
  }

  #swap(
    pending: PendingConfirmation,
    head: Head,
    change: ConfigurationChange,
    revision: number,
    at: number,
  ): void {
    const next: Head = {...head, version: change.version, changes: [...head.changes, change]};
    const wasSwapUnknown = pending.isSwapUnknown;
    // The effect of the swap is unknown until its answer arrives.
    pending.isSwapUnknown = true;
    this.context.swapHead(next, revision, at, (answer, answeredAt) => {
      if (answer.result === 'ok') this.access.acceptOwnHead(next, answer.revision, answeredAt);
      if (!this.#pending.has(pending.request)) return;
      if (answer.result !== 'unknown') pending.isSwapUnknown = wasSwapUnknown;
      if (answer.result === 'ok') {
        this.#finish(pending, 'accepted', answeredAt, {version: change.version});
      } else if (answer.result === 'mismatch') {
        this.#read(pending, answeredAt);
      } else {
        if (answer.result === 'unknown') this.context.count('swap-answer-lost');
        this.#handleFailure(pending, answer, answeredAt);
      }
    });
  }

  /**
   * Refuses a plan whose base version is outdated. The outcome is `unknown` when an earlier swap may have taken effect
   * and the changes that would show it are no longer kept.
   */
  #refuse(pending: PendingConfirmation, head: Head, at: number): void {
    const {baseVersion} = pending.plan;
    const first = head.version - head.changes.length + 1;
    const difference =
      first <= baseVersion + 1
        ? head.changes.slice(baseVersion + 1 - first)
        : this.context.log.getChangesAfter(baseVersion);
    if (pending.isSwapUnknown && !difference) return this.#finish(pending, 'unknown', at);
    this.#finish(pending, 'refused', at, difference && {difference});
  }

  #handleFailure(pending: PendingConfirmation, answer: StoreAnswer, at: number): void {
    if (answer.result === 'unavailable' && !pending.isSwapUnknown) {
      return this.#finish(pending, 'unavailable', at);
    }
    this.#scheduleRetry(pending, at);
  }

  #scheduleRetry(pending: PendingConfirmation, at: number): void {
    pending.retryAt = at + minRetryDelayMs + this.context.jitter.below(minRetryDelayMs);
  }

  #giveUp(pending: PendingConfirmation, at: number): void {
    this.#finish(pending, pending.isSwapUnknown ? 'unknown' : 'unavailable', at);
  }

  #finish(
    pending: PendingConfirmation,
    outcome: ConfirmationOutcome,
    at: number,
    details: {version?: number; difference?: readonly ConfigurationChange[]} = {},
  ): void {
    this.#pending.delete(pending.request);
    const changeId = pending.plan.planId;
    this.context.emit({kind: 'confirmed', request: pending.request, outcome, changeId, ...details});
    this.context.count(`confirmed-${outcome}`);
    const valueMs = at - pending.startedAt;
    this.context.emit({kind: 'observe', name: 'configuration.confirmation', valueMs});
    this.context.record(details.version, `change-${outcome}`, `change ${changeId}`);
  }
}
