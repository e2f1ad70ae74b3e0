import type {Clock} from '@chervilbeam/coordination';

/**
 * Time in milliseconds for which a notice is repeated. An owner that the store does not answer steps down after 6 s, and the
 * next owner reads the cancels from the store.
 */
const lifetimeMs = 7_000;

/** Notices of cancels to the owner that it has not confirmed yet. */
export class CancelNotices {
  /** Time of each notice by submission id, the oldest first. */
  private readonly createdAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Ids of the submissions whose cancels have to be sent on a new link. */
  get unconfirmed(): readonly string[] {
    this.expire();
    return [...this.createdAt.keys()];
  }

  /** Adds the notice of a cancelled submission. */
  add(id: string): void {
    this.expire();
    this.createdAt.delete(id);
    this.createdAt.set(id, this.clock.now());
  }

  /** Removes a notice that the owner has received. */
  confirm(id: string): void {
    this.createdAt.delete(id);
  }

  private expire(): void {
    const now = this.clock.now();
    for (const [id, createdAt] of this.createdAt) {
      if (now - createdAt < lifetimeMs) return;
      this.createdAt.delete(id);
    }
  }
}
