import type {Resources} from '../messages/identity.js';

/** Dimensions of `Resources`. */
export const dimensions = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;

/** One dimension of `Resources`. */
export type Dimension = (typeof dimensions)[number];

/** Mutable `Resources`, for running totals. */
export type Amounts = {-readonly [K in keyof Resources]: Resources[K]};

/** Returns a mutable copy. */
export function copyAmounts(resources: Resources): Amounts {
  return {
    processors: resources.processors,
    memoryMb: resources.memoryMb,
    accelerators: resources.accelerators,
    slots: resources.slots,
  };
}

/** Returns amounts of 0 in every dimension. */
export function createAmounts(): Amounts {
  return {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};
}

/** Adds `other` in place, or subtracts it with a `sign` of -1. */
export function addAmounts(amounts: Amounts, other: Resources, sign = 1): void {
  amounts.processors += sign * other.processors;
  amounts.memoryMb += sign * other.memoryMb;
  amounts.accelerators += sign * other.accelerators;
  amounts.slots += sign * other.slots;
}

/** Whether `used + need` stays within `capacity` in every dimension. */
export function fits(capacity: Resources, used: Resources, need: Resources): boolean {
  return (
    used.processors + need.processors <= capacity.processors &&
    used.memoryMb + need.memoryMb <= capacity.memoryMb &&
    used.accelerators + need.accelerators <= capacity.accelerators &&
    used.slots + need.slots <= capacity.slots
  );
}

/** Returns the first dimension in which `need` exceeds `capacity`, if any. */
export function getLimitingDimension(capacity: Resources, need: Resources): Dimension | undefined {
  return dimensions.find(dimension => need[dimension] > capacity[dimension]);
}

/**
 * Returns the largest fraction `used / total` over all dimensions (the dominant share). Usage of a dimension of size 0
 * gives infinity.
 */
export function getDominantShare(used: Resources, total: Resources): number {
  let share = 0;
  for (const dimension of dimensions) {
    if (total[dimension] > 0) share = Math.max(share, used[dimension] / total[dimension]);
    else if (used[dimension] > 0) share = Number.POSITIVE_INFINITY;
  }
  return share;
}
