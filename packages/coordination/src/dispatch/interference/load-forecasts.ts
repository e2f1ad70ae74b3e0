import {CycleFit, type CycleSums, cycleSumCount} from './cycle-fit.js';

/** Range in milliseconds of the candidate periods of the load, and the ratio of neighbouring candidates. */
const shortestPeriodMs = 4_000;
const longestPeriodMs = 64_000;
const periodRatio = 1.05;
/** Candidate periods whose weight is below this fraction of the largest are ignored. */
const minPeriodWeight = 1e-3;
/** Factor by which the log evidence is reduced, because neighbouring measurements are not independent. */
const evidenceDiscount = 0.3;
/** Time in milliseconds for which the weights of the periods are cached. */
const weightsTtlMs = 500;
/** Time in milliseconds in which a difference from the cycle decays to 1/e. */
const differenceDecayMs = 2_000;
/** Bounds of the weight of the latest measurement in the difference from the cycle. */
const minDifferenceWeight = 0.05;
const maxDifferenceWeight = 0.4;
/** Weight of the latest measurement in the moving averages of the misfit and noise variances. */
const varianceSmoothing = 0.2;
/** Multiple of the measurement variance up to which a misfit is treated as noise. */
const noiseVarianceRatio = 2;
/** Growth of a load's standard deviation for each second without measurements. */
const deviationGrowthPerSecond = 0.03;
/** Upper bound of a load's standard deviation; without measurements the load can have any value. */
const maxDeviation = 0.2;
/** Number of standard deviations to which a forecast error is clipped; bursts of requests are outliers. */
const outlierDeviations = 3;
/** Time step in milliseconds at which a forecast is evaluated. */
const forecastStepMs = 250;

/** Learned load of one step, with all times relative to that of the record. */
export interface LearnedLoad {
  /** Key of the step. */
  readonly key: string;
  readonly difference: number;
  readonly misfitVariance: number;
  readonly noiseVariance: number;
  /** Age of the latest measurement in milliseconds. */
  readonly ageMs: number;
  /** Running sums of the fits of all candidate periods. */
  readonly sums: readonly number[];
}

/** Bounds of a plausible load and of a plausible variance of a load. */
const maxPlausibleLoad = 20;
const maxPlausibleVariance = 1;

/** A load with its standard deviation. */
export interface LoadEstimate {
  readonly load: number;
  readonly deviation: number;
}

interface Series {
  readonly fits: readonly CycleFit[];
  /** Smoothed recent difference between the measurements and the fitted cycle. */
  difference: number;
  /** Moving averages of the squared distance of measurements from the cycle, and of their expected variance. */
  misfitVariance: number;
  noiseVariance: number;
  updatedAt: number;
}

interface WeightedPeriod {
  readonly index: number;
  readonly weight: number;
}

const periods: readonly number[] = Array.from(
  {length: Math.floor(Math.log(longestPeriodMs / shortestPeriodMs) / Math.log(periodRatio)) + 1},
  (_, index) => shortestPeriodMs * periodRatio ** index,
);

/**
 * Forecasts the loads of serving steps. The loads of all steps are assumed to follow cycles of the same period, so the
 * period is learned from all steps together, and the level, amplitude and phase for each step. A difference from the
 * cycle is expected to decay.
 */
export class LoadForecasts {
  private readonly series = new Map<string, Series>();
  private weights: readonly WeightedPeriod[] = [];
  private weightsUpdatedAt = Number.NEGATIVE_INFINITY;

  /** Whether the load of a step has been measured. */
  has(key: string): boolean {
    return this.series.has(key);
  }

  /** Adds a measured load with its standard deviation. */
  update(key: string, load: number, deviation: number, at: number): void {
    let series = this.series.get(key);
    if (series === undefined) {
      series = {
        fits: periods.map(period => new CycleFit(period)),
        difference: 0,
        misfitVariance: 0,
        noiseVariance: 0,
        updatedAt: at,
      };
      this.series.set(key, series);
    }
    const cycle = this.getCycle(series, at);
    const elapsed = Math.max(0, at - series.updatedAt);
    series.difference *= Math.exp(-elapsed / differenceDecayMs);
    const expected = cycle.load + series.difference;
    const bound = outlierDeviations * Math.hypot(deviation, cycle.deviation);
    const innovation = Math.max(-bound, Math.min(bound, load - expected));
    for (const fit of series.fits) fit.add(expected + innovation, deviation, at);
    series.misfitVariance += varianceSmoothing * ((load - cycle.load) ** 2 - series.misfitVariance);
    series.noiseVariance +=
      varianceSmoothing * (deviation ** 2 + cycle.deviation ** 2 - series.noiseVariance);
    series.difference += innovation * getDifferenceWeight(series);
    series.updatedAt = Math.max(series.updatedAt, at);
  }

  /** Returns the estimated load of a step at a time in milliseconds, which may lie in the future. */
  estimate(key: string, at: number): LoadEstimate {
    const series = this.series.get(key);
    if (series === undefined) return {load: 0, deviation: maxDeviation};
    this.updateWeights(at);
    const cycle = this.getCycle(series, at);
    const elapsed = Math.max(0, at - series.updatedAt);
    const grownDeviation = Math.hypot(cycle.deviation, (deviationGrowthPerSecond * elapsed) / 1000);
    return {
      load: cycle.load + getDifference(series, at),
      deviation: Math.min(maxDeviation, grownDeviation),
    };
  }

  /** Returns the highest load expected within the next `durationMs` milliseconds. */
  getHighest(key: string, at: number, durationMs: number): number {
    const series = this.series.get(key);
    if (series === undefined) return 0;
    this.updateWeights(at);
    let highest = Number.NEGATIVE_INFINITY;
    for (let ahead = 0; ahead <= durationMs; ahead += forecastStepMs) {
      highest = Math.max(highest, this.getLoad(series, at + ahead));
    }
    return highest;
  }

  /** Returns what is known of at most `limit` steps: of those measured last. */
  getLearned(at: number, limit: number): LearnedLoad[] {
    return [...this.series]
      .sort(([, a], [, b]) => b.updatedAt - a.updatedAt)
      .slice(0, limit)
      .map(([key, {fits, difference, misfitVariance, noiseVariance, updatedAt}]) => ({
        key,
        difference,
        misfitVariance,
        noiseVariance,
        ageMs: Math.max(0, at - updatedAt),
        sums: fits.flatMap(fit => fit.getSums(at)),
      }));
  }

  /**
   * Continues with what another process has learned of a step, relative to the time `at`. Returns false when it is not
   * plausible, or when this process has measurements of its own.
   */
  restore(learned: LearnedLoad, at: number): boolean {
    const {key, difference, misfitVariance, noiseVariance, ageMs, sums} = learned;
    if (this.series.has(key) || sums.length !== periods.length * cycleSumCount) return false;
    const fits = periods.map((period, index) => {
      const fit = new CycleFit(period);
      const start = index * cycleSumCount;
      fit.restore(sums.slice(start, start + cycleSumCount) as unknown as CycleSums, at);
      return fit;
    });
    const isPlausible = fits.every(fit => {
      const variance = fit.getVariance(at);
      const isLoad = Math.abs(fit.getValue(at)) <= maxPlausibleLoad;
      return isLoad && variance >= 0 && variance <= maxPlausibleVariance;
    });
    if (!isPlausible || Math.abs(difference) > maxPlausibleLoad) return false;
    const updatedAt = at - ageMs;
    this.series.set(key, {fits, difference, misfitVariance, noiseVariance, updatedAt});
    return true;
  }

  /** Forgets the loads of steps that have ended. */
  retain(isActive: (key: string) => boolean): void {
    for (const key of this.series.keys()) if (!isActive(key)) this.series.delete(key);
  }

  /** Returns the average of the fits, weighted by the probability of their periods. */
  private getCycle(series: Series, at: number): LoadEstimate {
    let load = 0;
    let meanSquare = 0;
    let variance = 0;
    for (const {index, weight} of this.getWeights()) {
      const fit = series.fits[index];
      if (fit === undefined) continue;
      const value = fit.getValue(at);
      load += weight * value;
      meanSquare += weight * value ** 2;
      variance += weight * fit.getVariance(at);
    }
    return {load, deviation: Math.sqrt(variance + Math.max(0, meanSquare - load ** 2))};
  }

  /** Returns the load of `estimate` without its deviation, which costs several times as much. */
  private getLoad(series: Series, at: number): number {
    let load = getDifference(series, at);
    for (const {index, weight} of this.getWeights()) {
      load += weight * (series.fits[index]?.getValue(at) ?? 0);
    }
    return load;
  }

  private getWeights(): readonly WeightedPeriod[] {
    if (this.weights.length === 0) {
      this.weights = periods.map((_, index) => ({index, weight: 1 / periods.length}));
    }
    return this.weights;
  }

  private updateWeights(at: number): void {
    if (at - this.weightsUpdatedAt < weightsTtlMs) return;
    this.weightsUpdatedAt = at;
    const evidence = periods.map(() => 0);
    for (const {fits} of this.series.values()) {
      fits.forEach(
        (fit, index) => (evidence[index] = (evidence[index] ?? 0) + fit.getLogEvidence()),
      );
    }
    const highest = Math.max(...evidence);
    const likelihoods = evidence.map(value => Math.exp((value - highest) * evidenceDiscount));
    const kept = likelihoods
      .map((weight, index) => ({index, weight}))
      .filter(({weight}) => weight >= minPeriodWeight);
    const sum = kept.reduce((total, {weight}) => total + weight, 0);
    this.weights = kept.map(({index, weight}) => ({index, weight: weight / sum}));
  }
}

/** Returns how much of the recent difference from the cycle is expected to be left at a time. */
function getDifference({difference, updatedAt}: Series, at: number): number {
  return difference * Math.exp(-Math.max(0, at - updatedAt) / differenceDecayMs);
}

/** Returns the weight of a new difference: low while the cycle fits (noise), high when it does not (a changed load). */
function getDifferenceWeight({misfitVariance, noiseVariance}: Series): number {
  const weight =
    1 - (noiseVarianceRatio * noiseVariance) / Math.max(misfitVariance, Number.MIN_VALUE);
  return Math.max(minDifferenceWeight, Math.min(maxDifferenceWeight, weight));
}
