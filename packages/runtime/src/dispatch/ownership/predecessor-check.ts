import type {Clock, OwnerRecord} from '@chervilbeam/coordination';

/** Interval in milliseconds at which predecessors are asked that have not answered. */
const askIntervalMs = 400;

/** Options of `PredecessorCheck`. */
export interface PredecessorCheckOptions {
  readonly predecessors: readonly OwnerRecord[];
  readonly clock: Clock;
  /** Returns how long ago in milliseconds an ownership ended at least; undefined when that is not known. */
  readonly askEnd: (owner: OwnerRecord) => Promise<number | undefined>;
  /** Whether the answer is still of use. */
  readonly shouldContinue: () => boolean;
}

/**
 * Finds out when the owners before this one have stopped. Without an answer a new owner has to assume that its predecessor
 * goes on until its ownership times out, and waits that much longer for the leases of workers that do not report.
 */
export class PredecessorCheck {
  private readonly endedAt = new Map<OwnerRecord, number>();

  constructor(private readonly options: PredecessorCheckOptions) {}

  /** Returns how long ago in milliseconds the last of them ended; undefined when that was not found out in time. */
  async run(): Promise<number | undefined> {
    const {predecessors, clock, shouldContinue} = this.options;
    while (shouldContinue()) {
      await Promise.all(predecessors.map(owner => this.ask(owner)));
      if (this.endedAt.size === predecessors.length) {
        return clock.now() - Math.max(...this.endedAt.values());
      }
      await new Promise(resolve => setTimeout(resolve, askIntervalMs));
    }
    return undefined;
  }

  private async ask(owner: OwnerRecord): Promise<void> {
    if (this.endedAt.has(owner)) return;
    const agoMs = await this.options.askEnd(owner);
    if (agoMs !== undefined) this.endedAt.set(owner, this.options.clock.now() - agoMs);
  }
}
