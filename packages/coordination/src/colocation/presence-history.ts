import type {Presence} from './disturbance-model.js';

/** Samples that are kept of a host. */
const maxSamples = 40;

/** What ran on a host in the recent past, because measurements arrive late. */
export class PresenceHistory {
  private readonly samples: Array<{at: number; presence: Presence}> = [];

  /** Adds the present state. */
  add(presence: Presence, at: number): void {
    this.samples.push({at, presence});
    if (this.samples.length > maxSamples) this.samples.shift();
  }

  /** Average over a window of the past. */
  getAverage(from: number, to: number): Presence {
    const sums = new Map<string, number>();
    let count = 0;
    for (const {at, presence} of this.samples) {
      if (at < from || at > to) continue;
      count += 1;
      for (const [name, amount] of presence) sums.set(name, (sums.get(name) ?? 0) + amount);
    }
    for (const [name, sum] of sums) sums.set(name, sum / count);
    return sums;
  }

  /** Average over a window of the past, in which each sample holds until the next one. */
  getTimeWeightedAverage(from: number, to: number): Presence {
    const sums = new Map<string, number>();
    this.samples.forEach(({at, presence}, index) => {
      const end = Math.min(to, this.samples[index + 1]?.at ?? to);
      const share = (end - Math.max(from, at)) / Math.max(1, to - from);
      if (share <= 0) return;
      for (const [name, amount] of presence) sums.set(name, (sums.get(name) ?? 0) + amount * share);
    });
    return sums;
  }
}
