/** A set that keeps a bounded number of values: those that were added or used most recently. */
export class RecentSet<Value> {
  private readonly values = new Set<Value>();

  /** Keeps at most `capacity` values. */
  constructor(private readonly capacity: number) {}

  /** Marks a value as the most recently used one; returns whether the set already contained it. */
  use(value: Value): boolean {
    const isKnown = this.values.delete(value);
    this.values.add(value);
    if (this.values.size > this.capacity) {
      const [oldest] = this.values;
      if (oldest !== undefined) this.values.delete(oldest);
    }
    return isKnown;
  }

  /** Whether the set contains a value; does not count as a use. */
  has(value: Value): boolean {
    return this.values.has(value);
  }

  /** Removes all values. */
  clear(): void {
    this.values.clear();
  }
}
