import {
  checkLearnedState,
  type LearnedState,
  type OwnerRecord,
  type SuccessorCandidate,
} from '@chervilbeam/coordination';
import type {HandoverCalls, HandoverOffer, HandoverReply} from './handover-calls.js';
import {
  HandoverReceiver,
  type HandoverReceiverOptions,
  type Unavailability,
} from './handover-receiver.js';
import {HandoverSender} from './handover-sender.js';

/** State of the election at a process. */
export interface ElectionState {
  readonly isOwner: boolean;
  /** Whether it has a lease for a claim. */
  readonly hasLease: boolean;
  /** Smallest measured round trip of a store call in milliseconds; infinite before the first one. */
  readonly roundTripMs: number;
}

/** Options of `Handover`. */
export interface HandoverOptions extends Omit<HandoverReceiverOptions, 'getUnavailability'> {
  /** Address at which other processes reach this one. */
  readonly address: string;
  /** Absent in a process that knows no other entries. */
  readonly handoverCalls?: HandoverCalls;
  readonly isStoreFailing?: () => boolean;
  /** Processors that this process can use as the owner. */
  readonly processors: number;
  /** Returns the state of the election at this process. */
  readonly getElection: () => ElectionState;
  /** Returns what this owner has learned; undefined before its ownership has begun. */
  readonly getLearned: () => LearnedState | undefined;
}

/** What an owner has handed over, and the time of its arrival in milliseconds. */
export interface ReceivedState {
  readonly learned: LearnedState;
  readonly learnedAt: number;
}

/** Age in milliseconds up to which what was handed over is used. */
const maxLearnedAgeMs = 10_000;

/** Planned handover of the ownership: offers it to another entry, or takes it over from one. */
export class Handover {
  private readonly sender: HandoverSender | undefined;
  private readonly receiver: HandoverReceiver;
  private offeredTerm = 0;
  private isDraining = false;
  private received: ReceivedState | undefined;

  constructor(private readonly options: HandoverOptions) {
    const {handoverCalls: calls} = options;
    this.sender =
      calls &&
      new HandoverSender({
        ...options,
        calls,
        // An owner that has not begun yet passes on what it was given.
        getLearned: () => options.getLearned() ?? this.received?.learned,
      });
    this.receiver = new HandoverReceiver({
      ...options,
      getUnavailability: () => this.getUnavailability(),
    });
  }

  /** Whether this process would take the ownership over, and how suitable it is. */
  get candidacy(): Omit<SuccessorCandidate, 'address'> {
    const {processors, getElection} = this.options;
    return {isAvailable: this.receiver.isAvailable, processors, ...toFinite(getElection())};
  }

  /** Refuses all offers from now on, also one that is under way, because this process is to end. */
  refuse(): void {
    this.isDraining = true;
    this.receiver.cancel('draining');
  }

  /** Offers the ownership to other entries; returns the address of the one that has claimed it. */
  async offer(
    term: number,
    limitMs: number,
    shouldContinue: () => boolean,
  ): Promise<string | undefined> {
    return this.sender?.run(term, limitMs, shouldContinue);
  }

  /** Handles the offer of an owner; resolves once the claim has taken effect or has failed. */
  take(offer: HandoverOffer): Promise<HandoverReply> {
    if (this.receiver.isAvailable) {
      this.offeredTerm = offer.term;
      this.receive(offer);
    }
    return this.receiver.take(offer);
  }

  /** What the previous owner has handed over; undefined when there is nothing, or when it is old. */
  get receivedState(): ReceivedState | undefined {
    const {received} = this;
    if (received === undefined) return undefined;
    const ageMs = this.options.clock.now() - received.learnedAt;
    return ageMs <= maxLearnedAgeMs ? received : undefined;
  }

  /** Records that a claim of this process has taken effect. */
  confirm(): void {
    this.receiver.confirm();
  }

  /** Handles an owner record: what has been read ahead, and an offer, are void once another process than the one that offered has the ownership. */
  observe(owner: OwnerRecord | undefined, revision: number): void {
    if (owner === undefined || owner.address === this.options.address) return;
    if (this.receiver.isActive && revision <= this.offeredTerm) return;
    this.options.loader.discard();
    this.receiver.cancel('replaced');
  }

  private receive({term, learned: value}: HandoverOffer): void {
    const {clock, log} = this.options;
    this.received = undefined;
    if (value === undefined) return;
    const {learned, ignored} = checkLearnedState(value);
    if (ignored > 0) log.warn('learned-state-ignored', {term, ignored});
    this.received = {learned, learnedAt: clock.now()};
  }

  private getUnavailability(): Unavailability | undefined {
    const {getElection, isStoreFailing} = this.options;
    if (this.isDraining) return 'draining';
    const {isOwner, hasLease} = getElection();
    if (isOwner) return 'is-owner';
    if (!hasLease) return 'no-lease';
    return isStoreFailing?.() ? 'store-failing' : undefined;
  }
}

/** Messages have finite numbers only; a process without an answer of the store has no lease, and is not available. */
function toFinite({roundTripMs}: ElectionState): Pick<SuccessorCandidate, 'roundTripMs'> {
  return {roundTripMs: Number.isFinite(roundTripMs) ? roundTripMs : 0};
}
