import type {Clock} from '@chervilbeam/coordination';

/**
 * Time in milliseconds within which a caller may repeat an attempt that was not answered: four retries with a timeout
 * of 3 s, and the waits between them.
 */
const repeatWindowMs = 15_000;

/**
 * Remembers when an entry was last lost. A lost entry may have stored a submission without answering its caller, so for
 * some time the other entries cannot prove that a repeated submission is new. The start of this process counts as the
 * loss of the previous process at its address.
 */
export class EntryLosses {
  private latestAt: number;

  constructor(private readonly clock: Clock) {
    this.latestAt = clock.now();
  }

  /** Whether the caller of an entry that was lost may still repeat an attempt. */
  get isRecent(): boolean {
    return this.clock.now() - this.latestAt < repeatWindowMs;
  }

  /** Records that an entry was lost now. */
  record(): void {
    this.latestAt = this.clock.now();
  }
}
