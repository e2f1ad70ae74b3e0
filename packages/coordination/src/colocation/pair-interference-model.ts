/** Options of `PairInterferenceModel`. */
export interface PairInterferenceOptions {
  /** Prior mean and standard deviation of the effect of one batch task on a service, as log-slowdown. */
  readonly priorMean: number;
  readonly priorDeviation: number;
  /** Time in milliseconds after which an estimate has moved halfway back to the prior. */
  readonly halfLifeMs: number;
  /** Standard deviation of one measured effect. */
  readonly noiseDeviation: number;
  /** Standard deviation below which a pair of service and batch workload counts as known. */
  readonly knownDeviation: number;
}

/** Default prior of the log-slowdown of a pair. */
export const priorMean = 0.05;
export const priorDeviation = 0.2;

const defaultOptions: PairInterferenceOptions = {
  priorMean,
  priorDeviation,
  halfLifeMs: 600_000,
  noiseDeviation: 0.1,
  knownDeviation: 0.12,
};

/** Share of the prior standard deviation below which an estimate says more than the prior. */
const learnedDeviationShare = 0.98;

/** Gaussian estimate of the effect of one task of a batch workload on a service. */
interface PairEstimate {
  mean: number;
  variance: number;
  updatedAt: number;
}

/** Learned effect of a batch workload on a service. */
export interface LearnedPair {
  readonly service: string;
  readonly workload: string;
  readonly mean: number;
  readonly deviation: number;
}

/** Number of running tasks of each batch workload on a host, each weighted by its processor limit. */
export type ColocatedLoad = ReadonlyMap<string, number>;

/**
 * Learns how much each batch workload slows each service down. The effect on a service, by default the logarithm
 * of its latency ratio, is modelled as the sum of the effects of the batch tasks on its host. Each pair of service
 * and batch workload has a Gaussian estimate, updated as in a Kalman filter, which decays to the prior over time.
 */
export class PairInterferenceModel {
  private readonly pairs = new Map<string, Map<string, PairEstimate>>();
  private readonly options: PairInterferenceOptions;

  constructor(options: Partial<PairInterferenceOptions> = {}) {
    this.options = {...defaultOptions, ...options};
  }

  /** Updates the pairs of a service from one measured latency ratio. */
  observe(service: string, load: ColocatedLoad, ratio: number, at: number): void {
    if (ratio > 0) this.observeEffect(service, load, Math.log(ratio), at);
  }

  /** Updates the pairs of a service from one measured effect; `deviation` is the standard deviation of the measurement. */
  observeEffect(
    service: string,
    load: ColocatedLoad,
    effect: number,
    at: number,
    deviation = this.options.noiseDeviation,
  ): void {
    if (load.size === 0) return;
    let predicted = 0;
    let variance = deviation ** 2;
    const present: Array<{pair: PairEstimate; amount: number}> = [];
    for (const [workload, amount] of load) {
      const pair = this.getDecayedPair(service, workload, at);
      predicted += pair.mean * amount;
      variance += pair.variance * amount ** 2;
      present.push({pair, amount});
    }
    const residual = effect - predicted;
    for (const {pair, amount} of present) {
      const gain = (pair.variance * amount) / variance;
      pair.mean += gain * residual;
      pair.variance *= 1 - gain * amount;
    }
  }

  /** Expected effect of one task, as log-slowdown. */
  getMean(service: string, workload: string, at: number): number {
    return this.getDecayedPair(service, workload, at).mean;
  }

  /** Conservative estimate of the effect of one task: mean plus one standard deviation. */
  getUpperEstimate(service: string, workload: string, at: number): number {
    const {mean, variance} = this.getDecayedPair(service, workload, at);
    return mean + Math.sqrt(variance);
  }

  /** Standard deviation of the expected effect. */
  getDeviation(service: string, workload: string, at: number): number {
    return Math.sqrt(this.getDecayedPair(service, workload, at).variance);
  }

  /** Whether there are enough recent measurements to rely on the estimate. */
  isKnown(service: string, workload: string, at: number): boolean {
    return this.getDeviation(service, workload, at) < this.options.knownDeviation;
  }

  /** Returns what is known of at most `limit` pairs: of those that are known best. */
  getLearned(at: number, limit: number): LearnedPair[] {
    const learned: LearnedPair[] = [];
    for (const [service, pairs] of this.pairs) {
      for (const workload of pairs.keys()) {
        const mean = this.getMean(service, workload, at);
        const deviation = this.getDeviation(service, workload, at);
        if (deviation < this.options.priorDeviation * learnedDeviationShare)
          learned.push({service, workload, mean, deviation});
      }
    }
    return learned.sort((a, b) => a.deviation - b.deviation).slice(0, limit);
  }

  /** Continues with what another process has learned of a pair, unless this one knows it as well. */
  restore({service, workload, mean, deviation}: LearnedPair, at: number): boolean {
    if (deviation >= this.getDeviation(service, workload, at)) return false;
    const pair = this.getDecayedPair(service, workload, at);
    pair.mean = mean;
    pair.variance = deviation ** 2;
    return true;
  }

  private getDecayedPair(service: string, workload: string, at: number): PairEstimate {
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
    const retained = 0.5 ** ((at - pair.updatedAt) / halfLifeMs);
    pair.mean = priorMean + (pair.mean - priorMean) * retained;
    pair.variance = priorDeviation ** 2 + (pair.variance - priorDeviation ** 2) * retained;
    pair.updatedAt = at;
    return pair;
  }
}
