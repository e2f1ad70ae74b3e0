import type {Queue, Step} from '@chervilbeam/coordination';
import type {RandomSource} from '../../../cell/index.js';

/** Kinds of submissions, which are also the names of their queues. */
export const kinds = ['small', 'batch'] as const;
export type Kind = (typeof kinds)[number];

function createQueue(
  name: Kind,
  fields: Pick<Queue, 'priority' | 'stretchFactor' | 'targetLatencyMs'>,
): Queue {
  const host = 'queues.example';
  const prefix = `/${name}/`;
  const key = `${host}${prefix}`;
  return {key, host, prefix, name, service: 'service', maxAttempts: 2, timeoutMs: 3_000, ...fields};
}

export const queues: Readonly<Record<Kind, Queue>> = {
  small: createQueue('small', {priority: 0, stretchFactor: 1.5, targetLatencyMs: 600}),
  batch: createQueue('batch', {priority: 2, stretchFactor: 2, targetLatencyMs: 1_000}),
};

/** A load; rates are submissions a second. */
export interface LoadScenario {
  readonly name: string;
  readonly workers: number;
  readonly smallPerSecond: number;
  readonly batchesPerSecond: number;
  /** Factors on the rates during bursts. */
  readonly smallBurst: number;
  readonly batchBurst: number;
  /** Standard deviation of the logarithm of the number of tasks. */
  readonly sizeSpread: number;
  /** Range of the logarithm of actual to estimated run times. */
  readonly estimateError: number;
  /** Share of the batches that save checkpoints. */
  readonly checkpointShare: number;
}

/** One submission of a load, with what its caller does not know in advance. */
export interface OfferedSubmission {
  readonly id: string;
  readonly kind: Kind;
  readonly at: number;
  readonly steps: readonly Step[];
  /** Actual run times in milliseconds by step and task. */
  readonly durationsMs: readonly (readonly number[])[];
  /** Actual work in core-milliseconds. */
  readonly work: number;
  /** Objective in milliseconds by the actual run times. */
  readonly objectiveMs: number;
}

/** Time in milliseconds for which submissions are offered, and the bursts in it. */
export const offeredMs = 90_000;
const bursts = [
  [15_000, 27_000],
  [50_000, 65_000],
] as const;
const runOverheadMs = 100;

/** Creates the submissions of a load in the order of their arrival. */
export function createLoad(random: RandomSource, scenario: LoadScenario): OfferedSubmission[] {
  const load: OfferedSubmission[] = [];
  const sliceMs = 100;
  for (let at = 1_000; at < offeredMs; at += sliceMs) {
    const isBurst = bursts.some(([from, to]) => at >= from && at < to);
    const rates: Record<Kind, number> = {
      small: scenario.smallPerSecond * (isBurst ? scenario.smallBurst : 1),
      batch: scenario.batchesPerSecond * (isBurst ? scenario.batchBurst : 1),
    };
    for (const kind of kinds) {
      // Arrivals are random within a slice, with the mean of the rate.
      const mean = (rates[kind] * sliceMs) / 1_000;
      let count = Math.floor(mean);
      if (random.next() < mean - count) count += 1;
      for (let i = 0; i < count; i += 1) {
        load.push(createSubmission(random, scenario, kind, load.length, at));
      }
    }
  }
  return load;
}

function createSubmission(
  random: RandomSource,
  scenario: LoadScenario,
  kind: Kind,
  number: number,
  at: number,
): OfferedSubmission {
  const isBatch = kind === 'batch';
  const stepCount = isBatch ? 2 : 1 + Number(random.next() < 0.6);
  const size = Math.exp(scenario.sizeSpread * random.normal() - scenario.sizeSpread ** 2 / 2);
  const checkpoints = isBatch && random.next() < scenario.checkpointShare;
  const steps: Step[] = [];
  const durationsMs: number[][] = [];
  for (let index = 0; index < stepCount; index += 1) {
    const count = Math.max(1, Math.round((isBatch ? 7 : 10) * size));
    const estimatedMs = Math.round((isBatch ? 3_300 : 1_000) * Math.exp(random.next() - 0.5));
    const cores = Math.round((isBatch ? 3.5 : 0.3) * Math.exp(random.next() - 0.5) * 20) / 20;
    const error = Math.exp((2 * random.next() - 1) * scenario.estimateError);
    steps.push({
      count,
      need: {processors: cores, memoryMb: 300, accelerators: 0, slots: 0},
      estimatedMs,
      after: index > 0 ? [index - 1] : [],
      checkpoints,
      gang: false,
      sameRack: false,
      speculative: false,
      lasting: false,
      fills: isBatch,
    });
    durationsMs.push(
      Array.from({length: count}, () => estimatedMs * error * (0.8 + 0.4 * random.next())),
    );
  }
  const {stretchFactor, targetLatencyMs} = queues[kind];
  let work = 0;
  let criticalPathMs = 0;
  steps.forEach((step, index) => {
    const stepMs = durationsMs[index] ?? [];
    work += step.need.processors * stepMs.reduce((sum, ms) => sum + ms, 0);
    criticalPathMs += Math.max(...stepMs) + runOverheadMs;
  });
  const objectiveMs = stretchFactor * criticalPathMs + targetLatencyMs;
  const id = (number + 1).toString(16).padStart(16, '0');
  return {id, kind, at, steps, durationsMs, work, objectiveMs};
}
