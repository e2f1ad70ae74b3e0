/** Size classes of the submissions of a queue: the largest tenth, the fifth below it, and the rest. */
export const sizeClasses = ['largest', 'large', 'rest'] as const;
export type SizeClass = (typeof sizeClasses)[number];

/**
 * Smallest rate at which a size class is served in time, relative to the whole queue. It is above the half that callers are
 * promised, because the measured rates lag behind.
 */
const minRelativeRate = 0.7;

/** Number of outcomes over which a rate is taken. */
const memoryCount = 20;

/** Number of outcomes from which a rate is known. */
const minCount = 3;

/** Factor on the density of preferred submissions; it exceeds the spread of the densities of ordinary ones. */
const preferredFactor = 8;

/** Smallest rate of preferred submissions that is compensated by preferring more; below it, preference does not help. */
const minPreferredRate = 0.4;

/** Work in core-milliseconds from which a submission is of a class, and the shares of these classes that are preferred. */
export interface SizePreferences {
  readonly largeWork: number;
  readonly largestWork: number;
  readonly largeShare: number;
  readonly largestShare: number;
}

/** Preferences of a queue of which nothing is known. */
export const noPreferences: SizePreferences = {
  largeWork: Number.POSITIVE_INFINITY,
  largestWork: Number.POSITIVE_INFINITY,
  largeShare: 0,
  largestShare: 0,
};

/** Returns the size class of a submission. */
export function getSizeClass(work: number, preferences: SizePreferences): SizeClass {
  if (work >= preferences.largestWork) return 'largest';
  return work >= preferences.largeWork ? 'large' : 'rest';
}

/**
 * Returns the factor on the density of a submission. Under a lasting overload the order by density serves only the small
 * submissions. So a share of the large ones goes before the others, chosen by id: entries and owners agree on it, and a chosen
 * submission is served as a whole, where a share of the capacity would begin many and finish few.
 */
export function getPreference(id: string, work: number, preferences: SizePreferences): number {
  const size = getSizeClass(work, preferences);
  if (size === 'rest') return 1;
  const share = size === 'large' ? preferences.largeShare : preferences.largestShare;
  return share > 0 && getIdFraction(id) < share ? preferredFactor : 1;
}

/** Returns a number in [0, 1) that depends only on the id of a submission (FNV-1a). */
export function getIdFraction(id: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < id.length; i += 1) hash = Math.imul(hash ^ id.charCodeAt(i), 0x01000193);
  // The high bits of similar texts differ little, so they are mixed with the low ones.
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return ((hash ^ (hash >>> 12)) >>> 0) / 2 ** 32;
}

/** Share of submissions that were in time; older ones are forgotten exponentially. */
class Rate {
  private count = 0;
  private rate = 1;

  record(isInTime: boolean): void {
    this.count = Math.min(memoryCount, this.count + 1);
    this.rate += (Number(isInTime) - this.rate) / this.count;
  }

  /** The rate; 1 until it is known. */
  get value(): number {
    return this.count < minCount ? 1 : this.rate;
  }
}

/** Measures how often the size classes of a queue are served in time, and derives which share of each is preferred. */
export class ServedRates {
  private readonly all = new Rate();
  /** Rates of the submissions that were not preferred. */
  private readonly ordinary = {largest: new Rate(), large: new Rate()};
  private readonly preferred = {largest: new Rate(), large: new Rate()};

  /** Records whether a submission was in time. */
  record(size: SizeClass, isPreferred: boolean, isInTime: boolean): void {
    this.all.record(isInTime);
    if (size !== 'rest') (isPreferred ? this.preferred : this.ordinary)[size].record(isInTime);
  }

  /** Returns the share of a class that has to be preferred. */
  getShare(size: 'largest' | 'large'): number {
    const ordinary = this.ordinary[size].value;
    const wanted = this.all.value * minRelativeRate;
    if (ordinary >= wanted) return 0;
    const preferred = Math.max(minPreferredRate, ordinary, this.preferred[size].value);
    return Math.min(1, (wanted - ordinary) / Math.max(0.01, preferred - ordinary));
  }
}
