import {fitSlope, type Sample, type Slope} from './slope.js';

/** Whose cost an experiment measures. */
export type CapacityRole = 'entry' | 'deciding entry' | 'agent' | 'command' | 'store' | 'link';

/** One quantity that grows with something; every measurement uses the real reducers and codecs. */
export interface CapacityExperiment {
  readonly name: string;
  readonly role: CapacityRole;
  /** What grows, for example `hosts connected to the entry`. */
  readonly driver: string;
  /** At least four sizes; the largest reaches the size of two years or goes beyond it. */
  readonly sizes: readonly number[];
  readonly today: number;
  readonly inTwoYears: number;
  /** Unit of each metric and the mechanism that carries its growth. */
  readonly metrics: Readonly<Record<string, {readonly unit: string; readonly mechanism: string}>>;
  /** Measures every metric at one size. */
  measure(size: number, seed: number): Readonly<Record<string, number>>;
}

/** Slope of one metric of an experiment. */
export interface MetricResult {
  readonly experiment: string;
  readonly role: CapacityRole;
  readonly driver: string;
  readonly metric: string;
  readonly unit: string;
  readonly mechanism: string;
  readonly samples: readonly Sample[];
  readonly slope: Slope;
  /** Means at the sizes nearest to today and to two years, from the line when they were not measured. */
  readonly today: number;
  readonly inTwoYears: number;
}

/** Measures an experiment at all sizes with all seeds. */
export function runExperiment(
  experiment: CapacityExperiment,
  seeds: readonly number[],
): MetricResult[] {
  const samples = new Map<string, Sample[]>();
  // The first run lets the compiler warm up; it does not count.
  experiment.measure(experiment.sizes[0]!, 0);
  for (const seed of seeds) {
    for (const size of experiment.sizes) {
      for (const [metric, value] of Object.entries(experiment.measure(size, seed))) {
        const list = samples.get(metric) ?? [];
        samples.set(metric, list);
        list.push({size, value, seed});
      }
    }
  }
  const {name, role, driver, today, inTwoYears} = experiment;
  return Object.entries(experiment.metrics).map(([metric, {unit, mechanism}]) => {
    const list = samples.get(metric) ?? [];
    const slope = fitSlope(list);
    return {
      experiment: name,
      ...{role, driver, metric, unit, mechanism, samples: list, slope},
      today: getValueAt(list, slope, today),
      inTwoYears: getValueAt(list, slope, inTwoYears),
    };
  });
}

function getValueAt(samples: readonly Sample[], slope: Slope, size: number): number {
  const exact = samples.filter(sample => sample.size === size);
  if (exact.length === 0) return slope.intercept + slope.perUnit * size;
  return exact.reduce((sum, sample) => sum + sample.value, 0) / exact.length;
}
