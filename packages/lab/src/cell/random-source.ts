/** Deterministic random numbers from a seed (mulberry32). */
export class RandomSource {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** Uniform in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let value = this.state;
    value = Math.imul(value ^ (value >>> 15), value | 1);
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
    return ((value ^ (value >>> 14)) >>> 0) / 4294967296;
  }

  /** Uniform integer in [0, below). */
  integer(below: number): number {
    return Math.floor(this.next() * below);
  }

  /** Standard normal. */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
    return radius * Math.cos(2 * Math.PI * this.next());
  }

  /** Log-uniform in [low, high]. */
  logUniform(low: number, high: number): number {
    return low * (high / low) ** this.next();
  }
}
