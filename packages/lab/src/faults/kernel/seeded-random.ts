import {SeededRandom as Generator} from '@chervilbeam/coordination';

/** Seeded random generator with helpers for fault cases; the same seed repeats a case exactly. */
export class SeededRandom extends Generator {
  /** Returns a random element of a non-empty array. */
  pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.next() * values.length)]!;
  }

  /** Returns a random 48-bit integer, the size of a process incarnation. */
  nextIncarnation(): number {
    return Math.floor(this.next() * 0x1000000) * 0x1000000 + Math.floor(this.next() * 0x1000000);
  }
}
