import type {Clock} from '@chervilbeam/coordination';

/**
 * Time in milliseconds within which a caller may repeat an attempt that was not answered: the timeout of 3 s that callers
 * have for all attempts together, and a margin for the time until a loss is noticed.
 */
const repeatWindowMs = 5_000;

/**
 * Remembers when an entry was last lost. A lost entry may have stored a submission without answering its caller, so for
 * some time the other entries cannot prove that a repeated submission is new. The start of this process counts as the
 * loss of the previous process at its address.
 */
export class EntryLosses {
  private readonly startedAt: number;
  private latestAt: number;
  /** Addresses of the entries that have been lost and have not been heard of since. */
  private readonly lost = new Set<string>();

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
    this.latestAt = this.startedAt;
  }

  /** Whether a caller of the previous process at this address may still repeat an attempt. */
  get isStartRecent(): boolean {
    return this.clock.now() - this.startedAt < repeatWindowMs;
  }

  /** Whether the caller of an entry that was lost may still repeat an attempt. */
  get isRecent(): boolean {
    return this.clock.now() - this.latestAt < repeatWindowMs;
  }

  /** Records that an entry was found to be lost. */
  record(address: string): void {
    if (this.lost.has(address)) return;
    this.lost.add(address);
    this.latestAt = this.clock.now();
  }

  /** Records that an entry has been heard of. */
  recordContact(address: string): void {
    this.lost.delete(address);
  }

  /** Forgets the entries that are not in the list of entries any more. */
  retain(addresses: ReadonlySet<string>): void {
    for (const address of this.lost) if (!addresses.has(address)) this.lost.delete(address);
  }
}
