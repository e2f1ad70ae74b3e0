/** Tracks the number up to which all run ends of a worker incarnation are stored and can be acknowledged. */
export class EndCursor {
  private readonly waiting = new Set<number>();
  private highest = 0;
  private acknowledged = 0;

  /** Adds an end that must be stored before it is acknowledged; returns false when it was seen before. */
  add(end: number): boolean {
    if (end <= this.highest) return false;
    this.highest = end;
    this.waiting.add(end);
    return true;
  }

  /** Marks an end as stored. */
  store(end: number): void {
    this.waiting.delete(end);
  }

  /** Number up to which all ends are stored; never decreases. */
  get value(): number {
    let lowest = this.highest + 1;
    for (const end of this.waiting) lowest = Math.min(lowest, end);
    this.acknowledged = Math.max(this.acknowledged, lowest - 1);
    return this.acknowledged;
  }
}
