/** Deterministic random number generator (mulberry32), so that a reducer with the same seed makes the same choices. */
export class SeededRandom {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** Returns the next number in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  /** Returns an integer in [0, bound). */
  nextInteger(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns a number in [low, high). */
  between(low: number, high: number): number {
    return low + (high - low) * this.next();
  }
}
