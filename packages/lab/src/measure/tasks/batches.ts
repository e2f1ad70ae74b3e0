import type {RoundPolicy, Workload} from '@chervilbeam/coordination';
import {RandomSource, VirtualCell, type TaskBehaviour} from '../../cell/index.js';
import {getQuantile} from '../../cell/quantile.js';
import type {Experiment, Measure, RunResult} from '../experiment.js';

const durationHours = 3;
const hostCount = 10;
const processors = 16_000;
/** Number of series; all jobs of a series have the same errors in their declarations. */
const seriesCount = 12;
const jobCount = 80;

/** A batch job with its actual processors and run times, and the factors by which its declaration is wrong. */
interface ModelJob {
  readonly name: string;
  readonly arrivalMs: number;
  readonly dateMs: number;
  readonly items: number;
  readonly processors: number;
  readonly itemMs: readonly number[];
  /** Actual run time divided by the declared one. */
  readonly timeFactor: number;
  /** Actual processors divided by the declared ones. */
  readonly sizeFactor: number;
  readonly isNeverRunnable: boolean;
  readonly cancelledAtMs?: number;
}

interface JobLoad {
  readonly jobs: readonly ModelJob[];
  readonly urgentArrivalsMs: readonly number[];
}

/** Offered work as a multiple of the capacity, with or without faults. */
interface Scenario {
  readonly name: string;
  readonly load: number;
  readonly hasFaults: boolean;
}

const scenarios: readonly Scenario[] = [
  {name: 'load 0.8, quiet', load: 0.8, hasFaults: false},
  {name: 'load 1.1, quiet', load: 1.1, hasFaults: false},
  {name: 'load 0.8, faults', load: 0.8, hasFaults: true},
];

function createLoad(seed: number, scenario: Scenario): JobLoad {
  const random = new RandomSource(seed);
  const series = Array.from({length: seriesCount}, () => ({
    timeFactor: random.logUniform(0.1, 10),
    sizeFactor: random.logUniform(0.25, 2),
  }));
  const drafts = Array.from({length: jobCount}, (_, number) => {
    const items = 4 + random.integer(37);
    const itemSeconds = random.logUniform(30, 600);
    return {number, items, itemSeconds, size: [1_000, 2_000, 4_000][random.integer(3)] ?? 1_000};
  });
  const totalWork = drafts.reduce(
    (sum, draft) => sum + draft.items * draft.itemSeconds * draft.size,
    0,
  );
  const arrivalMs = (durationHours - 1) * 3_600_000;
  const scale = (scenario.load * hostCount * processors * (arrivalMs / 1000)) / totalWork;
  const jobs = drafts.map(({number, items, itemSeconds, size}): ModelJob => {
    const kind = random.integer(seriesCount);
    const {timeFactor = 1, sizeFactor = 1} = series[kind] ?? {};
    const itemMs = Array.from(
      {length: items},
      () => itemSeconds * scale * 1000 * Math.exp(0.2 * random.normal()),
    );
    const at = random.next() * arrivalMs;
    // The ideal run uses at most a quarter of the processors of all hosts.
    const maxParallelItems = Math.floor((hostCount * processors) / size / 4);
    const longestItemMs = Math.max(...itemMs);
    const totalItemMs = itemMs.reduce((sum, value) => sum + value, 0);
    const idealRunMs = Math.max(longestItemMs, totalItemMs / Math.min(items, maxParallelItems));
    const isCancelled = scenario.hasFaults && random.next() < 0.2;
    return {
      name: `series${String.fromCharCode(97 + kind)}-${number}`,
      arrivalMs: at,
      dateMs: at + 60_000 + idealRunMs * (1.3 + 3.7 * random.next()),
      items,
      processors: size,
      itemMs,
      timeFactor,
      sizeFactor,
      isNeverRunnable: number % 25 === 7,
      cancelledAtMs: isCancelled && at < 5_400_000 ? 5_400_000 : undefined,
    };
  });
  const urgentArrivalsMs = Array.from({length: 40}, () => 600_000 + random.next() * arrivalMs);
  return {jobs, urgentArrivalsMs};
}

function createJobWorkload(job: ModelJob, hasExactDeclarations: boolean): Workload {
  const timeFactor = hasExactDeclarations ? 1 : job.timeFactor;
  const sizeFactor = hasExactDeclarations ? 1 : job.sizeFactor;
  const mean = job.itemMs.reduce((sum, value) => sum + value, 0) / job.items;
  return {
    kind: 'batch',
    name: job.name,
    team: 'all',
    urgency: 'normal',
    grant: {slots: 0, processors: 0},
    resources: {
      processors: Math.round(job.processors / sizeFactor),
      memoryMb: 500,
      accelerators: job.isNeverRunnable ? 1 : 0,
      slots: 0,
    },
    tasks: job.items,
    runTimeSeconds: mean / 1000 / timeFactor,
    dateMs: job.dateMs,
    checkpointSeconds: 30,
  };
}

function createUrgentWorkload(number: number): Workload {
  return {
    kind: 'batch',
    name: `urgent-${number}`,
    team: 'all',
    urgency: 'urgent',
    grant: {slots: 0, processors: 0},
    resources: {processors: 2_000, memoryMb: 500, accelerators: 0, slots: 0},
    tasks: 1,
    runTimeSeconds: 20,
  };
}

interface Outcome {
  /** Names of the jobs that finished by their date. */
  readonly jobsInTime: ReadonlySet<string>;
  readonly urgentWaitsMs: readonly number[];
  /** Evictions per start. */
  readonly evictionsPerStart: number;
  /** Failed starts on the worker that `scheduleFaults` breaks. */
  readonly failingWorkerStarts: number;
  /** Jobs that can never run and were not reported within one round of 250 ms. */
  readonly unreportedJobs: number;
  /** Share of the late jobs that were reported as expected late before their date. */
  readonly warnedShare: number;
}

function runPolicy(
  seed: number,
  scenario: Scenario,
  policy: Partial<RoundPolicy>,
  hasExactDeclarations = false,
): Outcome {
  const load = createLoad(seed, scenario);
  const jobsByName = new Map(load.jobs.map(job => [job.name, job]));
  const getBehaviour = (workload: string, index: number): TaskBehaviour => {
    const job = jobsByName.get(workload);
    if (!job) return {workMs: 20_000};
    const baseProcessors = job.processors;
    return {workMs: job.itemMs[index] ?? 0, checkpointIntervalMs: 30_000, baseProcessors};
  };
  const cell: VirtualCell = new VirtualCell({
    hosts: Array.from({length: hostCount}, (_, number) => ({
      name: `host-${number}`,
      dataCentre: number < 5 ? 'west' : 'east',
      rack: `rack-${Math.floor(number / 3)}`,
      capacity: {processors, memoryMb: 60_000, accelerators: 0, slots: 8},
    })),
    getBehaviour,
    // Tasks that together use more processors than the host has slow down in proportion.
    speed: (_task, running) => {
      const used = running.reduce(
        (sum, other) => sum + (jobsByName.get(other.workload)?.processors ?? 2_000),
        0,
      );
      return Math.min(1, processors / used);
    },
    scheduler: {policy},
    tickMs: 250,
  });
  const finishedAt = new Map<string, number>();
  scheduleJobs(cell, load, hasExactDeclarations);
  if (scenario.hasFaults) scheduleFaults(cell);
  cell.queue.every(1_000, () => {
    for (const job of cell.scheduler.getState().jobs.values()) {
      if (job.finished >= job.workload.tasks && !finishedAt.has(job.name)) {
        finishedAt.set(job.name, cell.queue.now);
      }
    }
  });
  let failingWorkerStarts = 0;
  cell.queue.every(1_000, () => {
    failingWorkerStarts = Math.max(failingWorkerStarts, cell.getHost('host-4').worker.failures);
  });
  cell.runUntil(durationHours * 3_600_000);
  return computeOutcome(cell, load, finishedAt, failingWorkerStarts);
}

function scheduleJobs(cell: VirtualCell, load: JobLoad, hasExactDeclarations: boolean): void {
  for (const job of load.jobs) {
    cell.queue.after(Math.max(5_000, job.arrivalMs), () =>
      cell.configure({put: [createJobWorkload(job, hasExactDeclarations)]}),
    );
  }
  load.urgentArrivalsMs.forEach((at, number) =>
    cell.queue.after(at, () => cell.configure({put: [createUrgentWorkload(number)]})),
  );
  const cancelled = load.jobs.filter(job => job.cancelledAtMs !== undefined);
  const names = cancelled.map(job => job.name);
  cell.queue.after(5_400_000, () => cell.configure({remove: names}));
}

/** Makes every start on one worker fail for an hour, and kills the hosts of a rack for half an hour. */
function scheduleFaults(cell: VirtualCell): void {
  const {worker} = cell.getHost('host-4');
  cell.queue.after(1_200_000, () => {
    worker.broken = true;
  });
  cell.queue.after(4_800_000, () => {
    worker.broken = false;
  });
  const rack = ['host-6', 'host-7', 'host-8'];
  cell.queue.after(6_000_000, () => {
    for (const name of rack) cell.kill(name);
  });
  cell.queue.after(7_800_000, () => {
    for (const name of rack) cell.restart(name);
  });
}

function computeOutcome(
  cell: VirtualCell,
  load: JobLoad,
  finishedAt: ReadonlyMap<string, number>,
  failingWorkerStarts: number,
): Outcome {
  const jobsInTime = new Set<string>();
  let late = 0;
  let warnedCount = 0;
  for (const job of load.jobs) {
    if (job.isNeverRunnable || job.cancelledAtMs !== undefined) continue;
    const at = finishedAt.get(job.name) ?? Number.POSITIVE_INFINITY;
    if (at <= job.dateMs) {
      jobsInTime.add(job.name);
      continue;
    }
    late += 1;
    const isWarned = cell.findings.some(
      finding =>
        finding.workload === job.name &&
        finding.reason === 'expected-late' &&
        finding.at < job.dateMs,
    );
    if (isWarned) warnedCount += 1;
  }
  const urgentWaitsMs = load.urgentArrivalsMs.map((at, number) => {
    const started = cell.firstStartTimes.get(`urgent-${number}/0`) ?? Number.POSITIVE_INFINITY;
    return started - at;
  });
  const unreportedJobs = load.jobs.filter(
    job =>
      job.isNeverRunnable &&
      !cell.findings.some(
        finding =>
          finding.workload === job.name &&
          finding.reason === 'never-runnable' &&
          finding.at - Math.max(5_000, job.arrivalMs) <= 250,
      ),
  ).length;
  const {starts, evictions} = cell.scheduler.getState();
  const warnedShare = late === 0 ? 1 : warnedCount / late;
  return {
    jobsInTime,
    urgentWaitsMs,
    evictionsPerStart: evictions / starts,
    failingWorkerStarts,
    unreportedJobs,
    warnedShare,
  };
}

/** Scheduling policies by name: the current one and the baselines. */
const policies: ReadonlyArray<readonly [string, Partial<RoundPolicy>]> = [
  ['learned slack', {}],
  [
    'baseline first come first served',
    {order: 'arrival', usesUrgencyBands: false, isLearning: false, allowsEviction: false},
  ],
  ['baseline strict urgency', {order: 'arrival', isLearning: false, allowsEviction: false}],
  ['baseline static packing by declared size', {order: 'date', isLearning: false}],
  ['baseline no learning', {isLearning: false}],
];

/** Policies that run with exact declarations; the one with most jobs in time is the oracle. */
const oraclePolicies: ReadonlyArray<Partial<RoundPolicy>> = [{order: 'slack'}, {order: 'date'}];

function runScenario(seed: number, scenario: Scenario): RunResult[] {
  const oracle = oraclePolicies
    .map(policy => runPolicy(seed, scenario, policy, true))
    .reduce((best, next) => (next.jobsInTime.size > best.jobsInTime.size ? next : best));
  const outcomes = policies.map(
    ([name, policy]) => [name, runPolicy(seed, scenario, policy)] as const,
  );
  return [...outcomes, ['baseline oracle', oracle] as const].map(([policy, outcome]) => {
    const share = outcome.jobsInTime.size / Math.max(1, oracle.jobsInTime.size);
    const urgentWaitsMs = [...outcome.urgentWaitsMs];
    const measures: Measure[] = [
      {name: 'jobs in time / oracle', unit: '', value: share, target: {atLeast: 0.95}},
      {name: 'jobs in time', unit: 'jobs', value: outcome.jobsInTime.size},
      {name: 'urgent start p50', unit: 's', value: getQuantile(urgentWaitsMs, 0.5) / 1000},
      {
        name: 'urgent start worst',
        unit: 's',
        value: Math.min(99_999, getQuantile(urgentWaitsMs, 1) / 1000),
        target: {atMost: 6.2},
      },
      {
        name: 'evictions / starts',
        unit: '',
        value: outcome.evictionsPerStart,
        target: {atMost: 0.1},
      },
      {name: 'late jobs announced before their date', unit: '', value: outcome.warnedShare},
      {
        name: 'never-runnable jobs not reported in one round',
        unit: 'jobs',
        value: outcome.unreportedJobs,
        target: {atMost: 0},
      },
    ];
    if (scenario.hasFaults) {
      measures.push({
        name: 'starts on a failing worker in 1 h',
        unit: '',
        value: outcome.failingWorkerStarts,
      });
    }
    return {scenario: scenario.name, policy, measures};
  });
}

/** Batch jobs with dates and wrong declared sizes and run times, with and without faults. */
export const batchesExperiment: Experiment = {
  name: 'batches',
  title: 'Batch jobs with dates, 10 hosts, 3 h, run times wrong by 0.1 to 10, sizes by 0.25 to 2',
  seeds: [1, 2, 3],
  run: seed => scenarios.flatMap(scenario => runScenario(seed, scenario)),
};
