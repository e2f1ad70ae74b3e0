/** Prior mean and standard deviation of ln(actual / declared); the prior weighs as much as `priorWeight` observations. */
const priorMean = 0;
const priorDeviation = Math.log(3);
const priorWeight = 0.25;

/** Running mean and sum of squared deviations of ln(actual / declared), by Welford's algorithm. */
export interface Estimate {
  count: number;
  mean: number;
  squaredDeviations: number;
}

/** Returns a workload name without its trailing number or date, so that the jobs of a series share a key. */
export function getWorkloadPrefix(name: string): string {
  return name.replace(/[-_.]?\d[\d\-_.]*$/, '');
}

/** Learns the ratio of actual to declared run times, per team and workload name prefix, as a log-normal distribution. */
export class RunTimeEstimates {
  private readonly estimates = new Map<string, Estimate>();

  /** Records the run time of a finished item; values of 0 or less are ignored. */
  observe(team: string, workload: string, declaredSeconds: number, actualSeconds: number): void {
    if (declaredSeconds <= 0 || actualSeconds <= 0) return;
    const key = `${team}/${getWorkloadPrefix(workload)}`;
    const estimate = this.estimates.get(key) ?? {count: 0, mean: 0, squaredDeviations: 0};
    const value = Math.log(actualSeconds / declaredSeconds);
    estimate.count += 1;
    const delta = value - estimate.mean;
    estimate.mean += delta / estimate.count;
    estimate.squaredDeviations += delta * (value - estimate.mean);
    this.estimates.set(key, estimate);
  }

  /** Returns what is known of the team and name prefix of a workload; undefined without an observation. */
  get(team: string, workload: string): Estimate | undefined {
    const estimate = this.estimates.get(`${team}/${getWorkloadPrefix(workload)}`);
    return estimate && {...estimate};
  }

  /** Replaces what is known of the team and name prefix of a workload. */
  set(team: string, workload: string, estimate: Estimate): void {
    this.estimates.set(`${team}/${getWorkloadPrefix(workload)}`, {...estimate});
  }

  /** Number of finished items observed for the team and name prefix of a workload. */
  getCount(team: string, workload: string): number {
    return this.estimates.get(`${team}/${getWorkloadPrefix(workload)}`)?.count ?? 0;
  }

  /** Returns the factor on the declared run time, at the mean plus `deviations` standard deviations of its logarithm. */
  getFactor(team: string, workload: string, deviations = 1): number {
    const estimate = this.estimates.get(`${team}/${getWorkloadPrefix(workload)}`);
    const count = estimate?.count ?? 0;
    const weight = count + priorWeight;
    const mean = (priorWeight * priorMean + count * (estimate?.mean ?? 0)) / weight;
    const variance =
      (priorWeight * priorDeviation ** 2 +
        (estimate?.squaredDeviations ?? 0) +
        (priorWeight * count * (estimate?.mean ?? 0) ** 2) / weight) /
      weight;
    return Math.exp(mean + deviations * Math.sqrt(variance));
  }
}
