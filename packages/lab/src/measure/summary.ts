import type {Experiment, RunResult, Series, Target} from './experiment.js';
import {isMet} from './experiment.js';

/** Median, minimum and maximum of one measure over the seeds. */
export interface MeasureSummary {
  readonly scenario: string;
  readonly policy: string;
  readonly measure: string;
  readonly unit: string;
  readonly median: number;
  readonly lowest: number;
  readonly highest: number;
  readonly target?: Target;
  /** Whether the median meets the target; absent without a target. */
  readonly met?: boolean;
}

/** Results of an experiment over all its seeds, as written to the JSON report. */
export interface ExperimentSummary {
  readonly name: string;
  readonly title: string;
  readonly seeds: readonly number[];
  readonly measures: readonly MeasureSummary[];
  readonly series: ReadonlyArray<{scenario: string; policy: string; series: Series}>;
}

/** Values of one measure over the seeds. `first` is its summary before aggregation, with `lowest` and `highest` 0. */
interface MeasureGroup {
  readonly first: Omit<MeasureSummary, 'median' | 'met'>;
  readonly values: number[];
}

/** Runs an experiment once with each of its seeds. */
export function runExperiment(experiment: Experiment): ExperimentSummary {
  const runs = experiment.seeds.map(seed => experiment.run(seed));
  return {
    name: experiment.name,
    title: experiment.title,
    seeds: experiment.seeds,
    measures: summarize(runs.flat()),
    // The plots show the first seed only.
    series: (runs[0] ?? []).flatMap(({scenario, policy, series}) =>
      (series ?? []).map(s => ({scenario, policy, series: s})),
    ),
  };
}

/** Aggregates the results of all seeds by scenario, policy and measure. */
export function summarize(results: readonly RunResult[]): MeasureSummary[] {
  const groups = new Map<
    string,
    {first: Omit<MeasureSummary, 'median' | 'met'>; values: number[]}
  >();
  for (const {scenario, policy, measures} of results) {
    for (const {name, unit, value, target} of measures) {
      const key = JSON.stringify([scenario, policy, name]);
      const first = {scenario, policy, measure: name, unit, lowest: 0, highest: 0, target};
      const group: MeasureGroup = groups.get(key) ?? {first, values: []};
      group.values.push(value);
      groups.set(key, group);
    }
  }
  return [...groups.values()].map(({first, values}) => {
    values.sort((a, b) => a - b);
    const median = values[Math.floor(values.length / 2)]!;
    const met = first.target && isMet(first.target, median);
    return {...first, median, lowest: values[0]!, highest: values.at(-1)!, met};
  });
}
