/** Deterministic pseudo-random numbers from a 32-bit seed (mulberry32). */
export class RandomSource {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** Returns a uniform number in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let value = this.state;
    value = Math.imul(value ^ (value >>> 15), value | 1);
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
    return ((value ^ (value >>> 14)) >>> 0) / 4294967296;
  }

  /** Returns a uniform integer in [0, below). */
  integer(below: number): number {
    return Math.floor(this.next() * below);
  }

  /** Returns a standard normal number (Box-Muller transform). */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
    return radius * Math.cos(2 * Math.PI * this.next());
  }

  /** Returns a log-uniform number in [low, high]. */
  logUniform(low: number, high: number): number {
    return low * (high / low) ** this.next();
  }
}
