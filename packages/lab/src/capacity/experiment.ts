import {fitSlope, type Sample, type Slope} from './slope.js';

/** Component whose cost an experiment measures. The `deciding entry` is the entry that owns the cell. */
export type CapacityRole = 'entry' | 'deciding entry' | 'agent' | 'command' | 'store' | 'link';

/** Measures how the cost of a component grows with one quantity, using the real reducers and codecs. */
export interface CapacityExperiment {
  readonly name: string;
  readonly role: CapacityRole;
  /** Quantity that the experiment varies, for example `hosts connected to the entry`. */
  readonly driver: string;
  /** At least four sizes, the largest of which is at least the size expected in two years. */
  readonly sizes: readonly number[];
  /** Size of today's deployment. */
  readonly today: number;
  /** Size expected in two years. */
  readonly inTwoYears: number;
  /** Unit of each metric and the mechanism that causes its growth. */
  readonly metrics: Readonly<Record<string, {readonly unit: string; readonly mechanism: string}>>;
  /** Measures every metric at one size. */
  measure(size: number, seed: number): Readonly<Record<string, number>>;
}

/** Growth of one metric of an experiment. */
export interface MetricResult {
  readonly experiment: string;
  readonly role: CapacityRole;
  readonly driver: string;
  readonly metric: string;
  readonly unit: string;
  readonly mechanism: string;
  readonly samples: readonly Sample[];
  readonly slope: Slope;
  /** Mean value at today's size, or the value of the fitted line if that size was not measured. */
  readonly today: number;
  /** As `today`, for the size expected in two years. */
  readonly inTwoYears: number;
}

/** Measures an experiment at all sizes with all seeds, and fits a line to the growth of each metric. */
export function runExperiment(
  experiment: CapacityExperiment,
  seeds: readonly number[],
): MetricResult[] {
  const samples = new Map<string, Sample[]>();
  // Warm-up run, so that JIT compilation is not part of the first measurement.
  experiment.measure(experiment.sizes[0]!, 0);
  for (const seed of seeds) {
    for (const size of experiment.sizes) {
      for (const [metric, value] of Object.entries(experiment.measure(size, seed))) {
        const metricSamples = samples.get(metric) ?? [];
        samples.set(metric, metricSamples);
        metricSamples.push({size, value, seed});
      }
    }
  }
  const {name, role, driver, today, inTwoYears} = experiment;
  return Object.entries(experiment.metrics).map(([metric, {unit, mechanism}]) => {
    const metricSamples = samples.get(metric) ?? [];
    const slope = fitSlope(metricSamples);
    return {
      experiment: name,
      ...{role, driver, metric, unit, mechanism, samples: metricSamples, slope},
      today: getValueAt(metricSamples, slope, today),
      inTwoYears: getValueAt(metricSamples, slope, inTwoYears),
    };
  });
}

function getValueAt(samples: readonly Sample[], slope: Slope, size: number): number {
  const exact = samples.filter(sample => sample.size === size);
  if (exact.length === 0) return slope.intercept + slope.perUnit * size;
  return exact.reduce((sum, sample) => sum + sample.value, 0) / exact.length;
}
