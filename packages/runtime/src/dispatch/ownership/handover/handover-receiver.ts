import type {Clock} from '@chervilbeam/coordination';
import type {Metrics} from '../../../metrics/index.js';
import type {DecisionLogger} from '../../decision-logger.js';
import type {RecordStore} from '../../records/record-store.js';
import {ownerKey} from '../../records/store-keys.js';
import type {StateLoader} from '../state-loader.js';
import type {HandoverOffer, HandoverReply} from './handover-calls.js';

/** Time in milliseconds after which an offer whose claim has had no outcome counts as failed. */
const claimTimeoutMs = 2_000;

/** Why an offer cannot be taken. */
export type Unavailability = 'draining' | 'is-owner' | 'no-lease' | 'store-failing' | 'busy';

/** Options of `HandoverReceiver`. */
export interface HandoverReceiverOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  readonly loader: StateLoader;
  /** Returns why this process cannot become the owner now; undefined when it can. */
  readonly getUnavailability: () => Unavailability | undefined;
  /** Replaces the owner key on condition that it still has a revision. */
  readonly claim: (revision: number) => void;
}

/**
 * Takes the ownership over from an owner that is about to leave. The offer is only a hint: the store decides whether the
 * sender is the owner, and all state is read from the store and from the workers.
 */
export class HandoverReceiver {
  private finish: ((reply: HandoverReply) => void) | undefined;

  constructor(private readonly options: HandoverReceiverOptions) {}

  /** Whether an offer would be accepted. */
  get isAvailable(): boolean {
    return this.unavailability === undefined;
  }

  /** Whether an offer is under way. */
  get isActive(): boolean {
    return this.finish !== undefined;
  }

  /** Handles an offer; resolves once the claim has taken effect or has failed. */
  async take(offer: HandoverOffer): Promise<HandoverReply> {
    const {term} = offer;
    const {unavailability} = this;
    if (unavailability !== undefined) return {isTaken: false, reason: unavailability};
    const {log, metrics} = this.options;
    log.log('handover-accepted', {term});
    const reply = await new Promise<HandoverReply>(resolve => {
      const timer = setTimeout(() => this.cancel('claim-timeout'), claimTimeoutMs);
      this.finish = outcome => {
        clearTimeout(timer);
        this.finish = undefined;
        resolve(outcome);
      };
      void this.prepare(term, this.finish);
    });
    if (reply.isTaken) metrics.count('handovers_taken');
    else {
      this.options.loader.discard();
      log.warn('handover-failed', {term, reason: reply.reason});
    }
    return reply;
  }

  /** Records that a claim of this process has taken effect. */
  confirm(): void {
    this.finish?.({isTaken: true});
  }

  /** Gives up, for example because this process is to end as well; the owner then asks another one. */
  cancel(reason: string): void {
    this.finish?.({isTaken: false, reason});
  }

  private get unavailability(): Unavailability | undefined {
    return this.options.getUnavailability() ?? (this.isActive ? 'busy' : undefined);
  }

  /** Reads the state while the owner goes on, and then claims. */
  private async prepare(term: number, finish: (reply: HandoverReply) => void): Promise<void> {
    const {store, loader, claim} = this.options;
    const [owner, isRead] = await Promise.all([store.read(ownerKey), loader.prepare()]);
    // It may have ended meanwhile, and another offer may be under way.
    if (this.finish !== finish) return;
    if (owner.kind !== 'ok') return this.cancel('owner-not-read');
    if (owner.record?.revision !== term) return this.cancel('not-the-owner');
    if (!isRead) return this.cancel('state-not-read');
    claim(term);
  }
}
