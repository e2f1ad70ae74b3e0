/** Time in milliseconds for which a refused submission is remembered; callers give up sooner. */
const memoryMs = 90_000;

/** Largest number of refused submissions that are remembered. */
const maxCount = 4_000;

/**
 * Remembers when callers first sent submissions that were refused, because their objectives are measured from then. An entry asks the
 * owner for a submission before it refuses it, so the owner learns of it without further messages.
 */
export class RefusedSubmissions {
  /** Times by id, oldest first. */
  private readonly firstSeenAt = new Map<string, number>();

  /** Records that an entry has asked for a submission that the owner does not know. */
  record(id: string, at: number): void {
    for (const [oldest, seenAt] of this.firstSeenAt) {
      if (at - seenAt < memoryMs && this.firstSeenAt.size < maxCount) break;
      this.firstSeenAt.delete(oldest);
    }
    if (!this.firstSeenAt.has(id)) this.firstSeenAt.set(id, at);
  }

  /** Returns and forgets the time at which a submission was seen first; undefined when it was not refused before. */
  take(id: string): number | undefined {
    const at = this.firstSeenAt.get(id);
    this.firstSeenAt.delete(id);
    return at;
  }

  /** Forgets all submissions. */
  clear(): void {
    this.firstSeenAt.clear();
  }
}
