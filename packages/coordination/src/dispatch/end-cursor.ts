/** Tells up to which number the ends of one life of a worker are stored. */
export class EndCursor {
  private readonly waiting = new Set<number>();
  private highest = 0;
  private acknowledged = 0;

  /** Notes an end that must be stored before it is acknowledged; returns false when it was seen before. */
  add(end: number): boolean {
    if (end <= this.highest) return false;
    this.highest = end;
    this.waiting.add(end);
    return true;
  }

  /** Notes that an end is stored. */
  store(end: number): void {
    this.waiting.delete(end);
  }

  /** Number up to which all ends are stored. It never falls. */
  get value(): number {
    let lowest = this.highest + 1;
    for (const end of this.waiting) lowest = Math.min(lowest, end);
    this.acknowledged = Math.max(this.acknowledged, lowest - 1);
    return this.acknowledged;
  }
}
