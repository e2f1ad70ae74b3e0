import {decideAdmission} from '../../../src/dispatch/policy/admission-level.js';
import {SeededRandom} from '../../../src/routing/seeded-random.js';
import {getWorkMs, type Step, type Submission} from '../../../src/submissions/index.js';
import {createQueue, VirtualFleet} from './virtual-fleet.js';

/** Queues of a fleet on which serving tasks reserve most cores and batches fill what they leave unused. */
export const sharedQueues = {
  quick: createQueue({name: 'quick', stretchFactor: 1.5, targetLatencyMs: 600}),
  batch: createQueue({name: 'batch', priority: 2, stretchFactor: 2, targetLatencyMs: 1_000}),
  watch: createQueue({name: 'watch', maxAttempts: 3, stretchFactor: 2.2, targetLatencyMs: 3_000}),
};

const plainStep: Step = {
  count: 1,
  need: {processors: 1, memoryMb: 500, accelerators: 0, slots: 0},
  estimatedMs: 1_000,
  after: [],
  checkpoints: false,
  gang: false,
  sameRack: false,
  speculative: false,
  lasting: false,
  fills: false,
};

/** Creates a step for tests. */
export function createStep(fields: Partial<Step> & {readonly cores?: number}): Step {
  const {cores, ...rest} = fields;
  const need = {...plainStep.need, ...(cores !== undefined && {processors: cores})};
  return {...plainStep, need, ...rest};
}

/** Creates a submission for tests. */
export function createSubmission(
  id: string,
  queue: string,
  steps: readonly Step[],
  fields: Partial<Submission> = {},
): Submission {
  return {
    id,
    queue,
    service: 'service',
    spec: 'spec',
    steps,
    repetitions: 0,
    startAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: 0,
    ...fields,
  };
}

/** Times a refused caller returns. */
const maxRetries = 4;
/** Part of its worth that a batch keeps up to three times its objective. */
const lateValueShare = 0.15;

interface SubmittedWork {
  readonly kind: keyof typeof sharedQueues;
  readonly at: number;
  readonly steps: readonly Step[];
}

/** What callers and users got. */
export interface LoadResult {
  /** Share of the worth of the batches that callers got; a late batch is worth little. */
  readonly batchValue: number;
  /** Share of the batches that were refused for good. */
  readonly batchesRefused: number;
  /** Share of the batches that were finished within their objective. */
  readonly batchesInTime: number;
  /** The same up to three times the objective. */
  readonly batchesLate: number;
  readonly quickInTime: number;
  /** Share of the time of all serving tasks in which their tail was above the target. */
  readonly overTarget: number;
  /** Longest time in milliseconds for which one serving task was above its target. */
  readonly longestOverMs: number;
  /** Share of the time in which the serving tasks were at work. */
  readonly atWork: number;
}

/** Load that `playSharedLoad` plays. */
export interface LoadOptions {
  readonly workers: number;
  readonly batchesPerSecond: number;
  /** Multiple of the batches for six seconds in the middle. */
  readonly burst: number;
  readonly quickPerSecond: number;
  /** Mean numbers of tasks of a step. */
  readonly batchTasks: number;
  readonly quickTasks: number;
  /** Serving submissions, mean number of their tasks, and numbers of images. */
  readonly watches: number;
  readonly watchTasks: number;
  readonly servingImages: number;
  readonly fillingImages: number;
}

const defaultLoad: LoadOptions = {
  workers: 11,
  batchesPerSecond: 1,
  burst: 1,
  quickPerSecond: 3,
  batchTasks: 8,
  quickTasks: 6,
  watches: 9,
  watchTasks: 5,
  servingImages: 5,
  fillingImages: 9,
};

/** A fleet of seven times as many workers. */
export const largeLoad: Partial<LoadOptions> = {
  workers: 77,
  batchesPerSecond: 1.8,
  quickPerSecond: 7,
  batchTasks: 20,
  quickTasks: 10,
  watches: 26,
  watchTasks: 13,
  servingImages: 10,
  fillingImages: 18,
};

/** Plays 40 s of a fleet whose cores are nearly all reserved by serving tasks. */
export function simulateSharedLoad(seed: number, options: Partial<LoadOptions> = {}): LoadResult {
  const load = {...defaultLoad, ...options};
  const random = new SeededRandom(seed);
  const targetMs = 50;
  const pressures = new Map<string, number>();
  /** Longest run time of each step that has started, by submission. */
  const longestMs = new Map<string, number[]>();
  /** Ratio of the run times of a step to their estimate. */
  const errors = new Map<string, number>();
  const getError = (id: string, step: number) => {
    const key = `${id}.${step}`;
    const error = errors.get(key) ?? Math.exp(random.between(-0.6, 0.6));
    errors.set(key, error);
    return error;
  };
  const fleet = new VirtualFleet({
    seed,
    queues: Object.values(sharedQueues),
    workers: Array.from({length: load.workers}, (_, index) => ({
      agent: `w${index}`,
      life: `life-${index}`,
      cores: index % 4 === 3 ? 24 : 16,
      rack: `r${index % Math.ceil(load.workers / 3)}`,
    })),
    getBehaviour: (task, submission) => {
      const index = Number(task.split('.')[2]);
      const estimatedMs = submission.steps[index]?.estimatedMs ?? 0;
      const durationMs = estimatedMs * getError(submission.id, index) * random.between(0.75, 1.3);
      const known = longestMs.get(submission.id) ?? [];
      known[index] = Math.max(known[index] ?? 0, durationMs);
      longestMs.set(submission.id, known);
      return {durationMs, faultyRuns: random.next() < 0.03 ? 1 : 0};
    },
    getLoad: (submission, at) => {
      const phase = Number.parseInt(submission.id.slice(-2), 16) / 40;
      return 0.45 * (1 + 0.5 * Math.sin((2 * Math.PI * at) / 14_000 + phase));
    },
    getPressure: (serving, filling) => {
      const key = `${serving} ${filling}`;
      let pressure = pressures.get(key);
      if (pressure === undefined) {
        pressure = random.next() < 0.38 ? random.between(1.3, 2.8) : random.between(0.05, 0.35);
        pressures.set(key, pressure);
      }
      return pressure;
    },
  });
  const submitted = new Map<string, SubmittedWork>();
  const refused = new Set<string>();
  let resubmissions: Array<{at: number; id: string; attempt: number}> = [];
  /** The objective follows from the real run times, which the dispatcher does not know. */
  const getObjective = (id: string, kind: 'quick' | 'batch') => {
    const {stretchFactor, targetLatencyMs} = sharedQueues[kind];
    const chainMs = (longestMs.get(id) ?? []).reduce((sum, ms) => sum + ms, 0);
    return stretchFactor * chainMs + targetLatencyMs;
  };
  let next = 1;
  const createId = () => (next++ * 7919).toString(16).padStart(16, '0');
  const submit = (kind: keyof typeof sharedQueues, steps: readonly Step[]) => {
    const id = createId();
    submitted.set(id, {kind, at: fleet.now, steps});
    send(id, 1);
  };
  /** Hands a submission in; a refused caller returns when it was told to, a few times. */
  const send = (id: string, attempt: number) => {
    const {kind, steps} = submitted.get(id) ?? {kind: 'batch', steps: []};
    const queue = sharedQueues[kind];
    const level = fleet.dispatcher.getLevels(fleet.now).find(each => each.queue === queue.key);
    const admission = decideAdmission(queue, steps, false, level);
    if (admission.kind === 'accept') {
      fleet.submit(createSubmission(id, queue.key, steps, {acceptedAtMs: fleet.now}));
    } else if (attempt > maxRetries) refused.add(id);
    else {
      const at = fleet.now + admission.retryAfterSeconds * 1_000;
      resubmissions.push({at, id, attempt: attempt + 1});
    }
  };
  const sendResubmissions = () => {
    const now = resubmissions.filter(({at}) => at <= fleet.now);
    resubmissions = resubmissions.filter(({at}) => at > fleet.now);
    for (const {id, attempt} of now) send(id, attempt);
  };
  const drawCount = (max: number, mean: number, spread: number) =>
    Math.max(1, Math.round(Math.min(max, mean * Math.exp(spread * (random.next() * 3 - 1.5)))));
  const submitWatch = () =>
    submit('watch', [
      createStep({
        count: drawCount(load.watchTasks * 1.6, load.watchTasks, 0.3),
        cores: Math.round(random.between(2.4, 4.8) * 20) / 20,
        lasting: true,
        image: `s${Math.floor(random.next() * load.servingImages)}`,
        tailTargetMs: targetMs,
        need: {
          processors: Math.round(random.between(2.4, 4.8) * 20) / 20,
          memoryMb: 6_000,
          accelerators: 0,
          slots: 0,
        },
        ...(random.next() < 0.5 && {spreadLimit: 2}),
      }),
    ]);
  const createSteps = (fields: () => Partial<Step> & {cores: number}, steps: number) =>
    Array.from({length: steps}, (_, index) =>
      createStep({...fields(), after: index > 0 ? [index - 1] : []}),
    );
  const submitBatch = () => {
    const image = `f${Math.floor(random.next() * load.fillingImages)}`;
    submit(
      'batch',
      createSteps(
        () => ({
          count: drawCount(load.batchTasks * 4, load.batchTasks, 0.6),
          cores: Math.round(random.between(1.2, 2.4) * 20) / 20,
          estimatedMs: Math.round(random.between(600, 4_200)),
          fills: true,
          checkpoints: true,
          image,
        }),
        drawCount(4, 2, 0.4),
      ),
    );
  };
  const submitQuick = () =>
    submit(
      'quick',
      createSteps(
        () => ({
          count: drawCount(load.quickTasks * 5, load.quickTasks, 0.8),
          cores: Math.round(random.between(0.1, 0.4) * 20) / 20,
          estimatedMs: Math.round(random.between(300, 2_500)),
        }),
        drawCount(3, 1.6, 0.4),
      ),
    );
  let over = 0;
  let atWork = 0;
  let serving = 0;
  let longest = 0;
  const overSince = new Map<string, number>();
  fleet.onStep = () => {
    if (fleet.now < 10_000) return;
    for (const worker of fleet.workers.values()) {
      for (const run of worker.runs.values()) {
        if (!run.behaviour.step.lasting) continue;
        serving += 1;
        if (run.workedMs >= 400) atWork += 1;
        if (run.tailMs <= targetMs) overSince.delete(run.task);
        else {
          over += 1;
          if (!overSince.has(run.task)) overSince.set(run.task, fleet.now);
          longest = Math.max(longest, fleet.now - (overSince.get(run.task) ?? 0));
        }
      }
    }
  };
  for (let watch = 0; watch < load.watches; watch += 1) {
    submitWatch();
    fleet.run(fleet.now + 4_500 / load.watches);
  }
  let batchCredit = 0;
  let quickCredit = 0;
  for (let second = 8; second < 48; second += 0.25) {
    const factor = second > 20 && second < 26 ? load.burst : 1;
    batchCredit += 0.25 * load.batchesPerSecond * factor * random.between(0.5, 1.5);
    quickCredit += 0.25 * load.quickPerSecond * random.between(0.5, 1.5);
    for (; batchCredit >= 1; batchCredit -= 1) submitBatch();
    for (; quickCredit >= 1; quickCredit -= 1) submitQuick();
    sendResubmissions();
    fleet.run(second * 1000);
  }
  fleet.run(62_000);
  const isMet = (id: string, entry: SubmittedWork, factor: number) => {
    const ended = fleet.endedAt.get(id);
    if (ended === undefined || entry.kind === 'watch') return false;
    return ended - entry.at <= getObjective(id, entry.kind) * factor;
  };
  const getShareInTime = (kind: 'quick' | 'batch', factor: number) => {
    const all = [...submitted].filter(([, entry]) => entry.kind === kind);
    return all.filter(([id, entry]) => isMet(id, entry, factor)).length / Math.max(1, all.length);
  };
  const getEarnedValueShare = () => {
    const batches = [...submitted].filter(([, entry]) => entry.kind === 'batch');
    const works = batches.map(([, entry]) => getWorkMs(entry.steps));
    const mean = works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length);
    let totalValue = 0;
    let earnedValue = 0;
    batches.forEach(([id, entry], index) => {
      const value = Math.min(4, 0.3 + (0.7 * (works[index] ?? 0)) / mean);
      totalValue += value;
      if (isMet(id, entry, 1)) earnedValue += value;
      else if (isMet(id, entry, 3)) earnedValue += value * lateValueShare;
    });
    return earnedValue / Math.max(1, totalValue);
  };
  const batches = [...submitted.values()].filter(entry => entry.kind === 'batch').length;
  return {
    batchValue: getEarnedValueShare(),
    batchesRefused: refused.size / Math.max(1, batches),
    batchesInTime: getShareInTime('batch', 1),
    batchesLate: getShareInTime('batch', 3),
    quickInTime: getShareInTime('quick', 1),
    overTarget: over / Math.max(1, serving),
    longestOverMs: longest,
    atWork: atWork / Math.max(1, serving),
  };
}
