/** Options of `DisturbanceModel`. */
export interface DisturbanceOptions {
  /** Mean and standard deviation of a pair's log-slowdown before anything was measured. */
  readonly priorMean: number;
  readonly priorDeviation: number;
  /** Time in milliseconds after which half of what was learned is forgotten. */
  readonly halfLifeMs: number;
  /** Standard deviation of the logarithm of one measured latency ratio. */
  readonly noiseDeviation: number;
}

/** Prior of the log-slowdown of a pair by default. */
export const priorMean = 0.05;
export const priorDeviation = 0.2;

const defaultOptions: DisturbanceOptions = {
  priorMean,
  priorDeviation,
  halfLifeMs: 600_000,
  noiseDeviation: 0.1,
};

/** Deviation below which a pair counts as known. */
const knownDeviation = 0.12;

interface Pair {
  mean: number;
  variance: number;
  updatedAt: number;
}

/** Amount of each batch workload on a host, in running tasks weighted by their throttle. */
export type Presence = ReadonlyMap<string, number>;

/**
 * Learns how much each batch workload slows each service. The logarithm of a service's latency ratio is the
 * sum over the batch tasks beside it; each pair is a Gaussian whose knowledge decays to the prior.
 */
export class DisturbanceModel {
  private readonly pairs = new Map<string, Map<string, Pair>>();
  private readonly options: DisturbanceOptions;

  constructor(options: Partial<DisturbanceOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Updates the pairs of a service from one measured ratio; `noise` widens the deviation of the measurement. */
  observe(service: string, presence: Presence, ratio: number, at: number, noise = 1): void {
    if (presence.size === 0 || ratio <= 0) return;
    let predicted = 0;
    let variance = (this.options.noiseDeviation * noise) ** 2;
    const present: Array<{pair: Pair; amount: number}> = [];
    for (const [workload, amount] of presence) {
      const pair = this.decay(service, workload, at);
      predicted += pair.mean * amount;
      variance += pair.variance * amount ** 2;
      present.push({pair, amount});
    }
    const surprise = Math.log(ratio) - predicted;
    for (const {pair, amount} of present) {
      const gain = (pair.variance * amount) / variance;
      pair.mean += gain * surprise;
      pair.variance *= 1 - gain * amount;
    }
  }

  /** Expected log-slowdown by one task. */
  getMean(service: string, workload: string, at: number): number {
    return this.decay(service, workload, at).mean;
  }

  /** Cautious log-slowdown by one task: mean plus one deviation. */
  getScore(service: string, workload: string, at: number): number {
    const {mean, variance} = this.decay(service, workload, at);
    return mean + Math.sqrt(variance);
  }

  /** Standard deviation of the expected log-slowdown. */
  getDeviation(service: string, workload: string, at: number): number {
    return Math.sqrt(this.decay(service, workload, at).variance);
  }

  /** Whether enough was measured to rely on the score. */
  isKnown(service: string, workload: string, at: number): boolean {
    return this.getDeviation(service, workload, at) < knownDeviation;
  }

  private decay(service: string, workload: string, at: number): Pair {
    let pairs = this.pairs.get(service);
    if (!pairs) {
      pairs = new Map();
      this.pairs.set(service, pairs);
    }
    const {priorMean, priorDeviation, halfLifeMs} = this.options;
    let pair = pairs.get(workload);
    if (!pair) {
      pair = {mean: priorMean, variance: priorDeviation ** 2, updatedAt: at};
      pairs.set(workload, pair);
    }
    const kept = 0.5 ** ((at - pair.updatedAt) / halfLifeMs);
    pair.mean = priorMean + (pair.mean - priorMean) * kept;
    pair.variance = priorDeviation ** 2 + (pair.variance - priorDeviation ** 2) * kept;
    pair.updatedAt = at;
    return pair;
  }
}
