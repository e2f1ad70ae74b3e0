import type {Clock, OwnerRecord} from '@chervilbeam/coordination';
import type {RecordStore} from '../records/record-store.js';
import {ownerKey, ownersKey} from '../records/store-keys.js';
import type {ElectionCalls} from './election-calls.js';
import {PredecessorCheck} from './predecessor-check.js';

/** Options of `OwnershipHistory`. */
export interface OwnershipHistoryOptions {
  readonly name: string;
  /** Address at which other processes reach this one. */
  readonly address: string;
  /** Unique id of this run of the process; prefix of the nonces of its claims. */
  readonly incarnation: string;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly electionCalls: ElectionCalls;
  /** Asks another process how long ago in milliseconds an ownership ended; undefined when that is not known. */
  readonly askOwnershipEnd: (owner: OwnerRecord) => Promise<number | undefined>;
}

/** Knows which ownerships of this and of other processes may still have valid leases, and when they ended. */
export class OwnershipHistory {
  private readonly startedAt: number;
  private endedAt: number;

  constructor(private readonly options: OwnershipHistoryOptions) {
    this.startedAt = options.clock.now();
    this.endedAt = this.startedAt;
  }

  /** Records that the ownership of this process has ended. */
  recordEnd(): void {
    this.endedAt = this.options.clock.now();
  }

  /**
   * Returns how long ago in milliseconds an ownership of this process, or of an earlier one at its address, ended at least;
   * undefined while it lasts. `isOwner` is whether this process holds the ownership of its latest claim.
   */
  getEndAge(nonce: string, isOwner: boolean): number | undefined {
    const {clock, incarnation, electionCalls} = this.options;
    if (!nonce.startsWith(`${incarnation}-`)) return clock.now() - this.startedAt;
    if (isOwner && electionCalls.nonce === nonce) return undefined;
    return clock.now() - this.endedAt;
  }

  /**
   * Returns how long ago in milliseconds the last of the owners before this one ended at least; undefined when that was not
   * found out while `shouldContinue` returned true.
   */
  async findPredecessorsEnd(shouldContinue: () => boolean): Promise<number | undefined> {
    const {clock, address, electionCalls, askOwnershipEnd} = this.options;
    const {predecessors} = electionCalls;
    if (predecessors === undefined || predecessors.length === 0) return undefined;
    const check = new PredecessorCheck({
      predecessors,
      clock,
      askEnd: async owner =>
        owner.address === address ? this.getEndAge(owner.nonce, true) : askOwnershipEnd(owner),
      shouldContinue,
    });
    const agoMs = await check.run();
    return shouldContinue() ? agoMs : undefined;
  }

  /** Stores that only this owner's leases may be valid. When the write fails, the next owner asks more processes. */
  async forgetPredecessors(term: number): Promise<void> {
    const {store, name, address, electionCalls} = this.options;
    const owner: OwnerRecord = {name, address, nonce: electionCalls.nonce};
    await store.commit({
      conditions: [{key: ownerKey, revision: term}],
      writes: [{key: ownersKey, value: JSON.stringify([owner])}],
      removals: [],
    });
  }
}
