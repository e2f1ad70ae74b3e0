import {SeededRandom as Generator} from '@chervilbeam/coordination';

/** Seeded generator with the choices of a case, so that a case is repeated exactly by its seed. */
export class SeededRandom extends Generator {
  /** Returns one of the values. */
  pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.next() * values.length)]!;
  }

  /** Returns a random integer of 48 bits, as used for incarnations. */
  nextIncarnation(): number {
    return Math.floor(this.next() * 0x1000000) * 0x1000000 + Math.floor(this.next() * 0x1000000);
  }
}
