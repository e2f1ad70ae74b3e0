import type {ColocatedLoad} from './pair-interference-model.js';

/** Samples kept per host, one a second: more than the lag and the window of a latency report together. */
const keptSamples = 40;

/** Recent batch tasks on a host. Latency reports arrive late and refer to the tasks of an earlier window. */
export class ColocatedLoadHistory {
  private readonly samples: Array<{at: number; load: ColocatedLoad}> = [];

  /** Adds a sample and drops the oldest one beyond the limit. */
  add(load: ColocatedLoad, at: number): void {
    this.samples.push({at, load});
    if (this.samples.length > keptSamples) this.samples.shift();
  }

  /** Mean of the samples from `from` to `to`, both included, in milliseconds; empty when there is none. */
  getAverage(from: number, to: number): ColocatedLoad {
    const sums = new Map<string, number>();
    let count = 0;
    for (const {at, load} of this.samples) {
      if (at < from || at > to) continue;
      count += 1;
      for (const [name, amount] of load) sums.set(name, (sums.get(name) ?? 0) + amount);
    }
    for (const [name, sum] of sums) sums.set(name, sum / count);
    return sums;
  }
}
