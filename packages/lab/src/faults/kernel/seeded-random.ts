/** Seeded generator (mulberry32), so that a case is repeated exactly by its seed. */
export class SeededRandom {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  /** Returns a number from 0 to below 1. */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let value = this.#state;
    value = Math.imul(value ^ (value >>> 15), value | 1);
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
    return ((value ^ (value >>> 14)) >>> 0) / 0x100000000;
  }

  /** Returns a number between two bounds. */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Returns one of the values. */
  pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.next() * values.length)]!;
  }

  /** Returns a random integer of 48 bits, as used for incarnations. */
  nextIncarnation(): number {
    return Math.floor(this.next() * 0x1000000) * 0x1000000 + Math.floor(this.next() * 0x1000000);
  }
}
