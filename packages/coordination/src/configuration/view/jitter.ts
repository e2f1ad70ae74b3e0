/** Seeded xorshift32 generator for the jitter of delays. Not suitable for generating unique ids. */
export class Jitter {
  #state: number;

  constructor(seed: number) {
    // The state must not be 0, and bits of the seed above the lowest 32 are folded into it.
    this.#state = (seed ^ (seed / 0x100000000)) >>> 0 || 1;
    // The first numbers after a small seed would be small.
    for (let i = 0; i < 4; i++) this.#step();
  }

  /** Returns a pseudo-random number from 0 (inclusive) to `limit` (exclusive). */
  below(limit: number): number {
    return (this.#step() / 0x100000000) * limit;
  }

  #step(): number {
    let x = this.#state;
    x ^= x << 13;
    x ^= x >>> 17;
    x ^= x << 5;
    this.#state = x >>> 0;
    return this.#state;
  }
}
