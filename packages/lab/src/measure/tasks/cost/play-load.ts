import {
  type CandidateOrder,
  CostAdmission,
  decideAdmission,
  type DispatchTiming,
  type QueueBacklogs,
} from '@chervilbeam/coordination';
import {RandomSource} from '../../../cell/index.js';
import {
  createLoad,
  type LoadScenario,
  offeredMs,
  type OfferedSubmission,
  queues,
} from './cost-load.js';
import {DispatchSimulation} from './dispatch-simulation.js';

/** Every third worker has 1.5 times the processors of the others. */
const workerCores = [32, 32, 48];
/** Largest number of times a refused caller sends a submission again. */
const maxRetries = 4;
/** Interval in milliseconds at which the owner publishes its backlogs. */
const backlogIntervalMs = 300;
/** Time in milliseconds after the last submission until which results are counted. */
const drainMs = 40_000;
/** Number of entries; each submission is sent to one of them at random. */
const entryCount = 4;

/** Admission of the entries; refusals give the seconds until the retry. */
export interface Admission {
  update(backlogs: QueueBacklogs, at: number): void;
  decide(offered: OfferedSubmission, entry: number, at: number): number | undefined;
}

/** Accepts everything. */
export class AcceptAll implements Admission {
  update(): void {}

  decide(): number | undefined {
    return undefined;
  }
}

/** Compares each submission with the sum of all waiting work. */
export class SumAdmission implements Admission {
  private backlogs: QueueBacklogs | undefined;

  update(backlogs: QueueBacklogs): void {
    this.backlogs = backlogs;
  }

  decide({kind, steps}: OfferedSubmission): number | undefined {
    const queue = queues[kind];
    const decision = decideAdmission(queue, steps, false, this.backlogs?.get(queue));
    return decision.kind === 'refuse' ? decision.retryAfterSeconds : undefined;
  }
}

/** Compares each submission with the work that is placed before it. */
export class DelayCostAdmission implements Admission {
  private readonly entries = Array.from({length: entryCount}, () => new CostAdmission());

  update(backlogs: QueueBacklogs, at: number): void {
    for (const entry of this.entries) entry.update(backlogs, at);
  }

  decide({id, kind, steps}: OfferedSubmission, entry: number, at: number): number | undefined {
    const admission = this.entries[entry];
    const submission = {id, queue: queues[kind], steps};
    const decision = admission?.decide(submission, entryCount, at);
    if (decision?.kind === 'refuse') return decision.retryAfterSeconds;
    admission?.recordAccepted(submission, at);
    return undefined;
  }
}

/** Rules that are compared. */
export interface Policy {
  readonly name: string;
  readonly timing: Partial<DispatchTiming>;
  readonly order?: CandidateOrder;
  readonly createAdmission: () => Admission;
}

/** Returns the processors of each worker. */
export function getWorkerCores(workers: number): number[] {
  return Array.from({length: workers}, (_, i) => workerCores[i % workerCores.length] ?? 0);
}

/** What callers got. */
export interface Outcome {
  readonly offered: readonly OfferedSubmission[];
  readonly simulation: DispatchSimulation;
  readonly refused: ReadonlySet<string>;
}

/** Plays a load by the rules of a policy. */
export function simulate(seed: number, scenario: LoadScenario, policy: Policy): Outcome {
  const offered = createLoad(new RandomSource(seed), scenario);
  const byId = new Map(offered.map(submission => [submission.id, submission]));
  const simulation = new DispatchSimulation({
    workerCores: getWorkerCores(scenario.workers),
    queues: Object.values(queues),
    timing: policy.timing,
    countedUntilMs: offeredMs,
    ...(policy.order && {order: policy.order}),
    getDurationMs: (id, step, index) => byId.get(id)?.durationsMs[step]?.[index] ?? 0,
  });
  const refused = new Set<string>();
  const admission = policy.createAdmission();
  const entries = new RandomSource(seed + 1);
  let sends = offered.map(submission => ({at: submission.at, submission, attempt: 1}));
  for (let at = 0; at < offeredMs + drainMs; at += 100) {
    simulation.run(at);
    const backlogs = at % backlogIntervalMs === 0 ? simulation.getBacklogs() : undefined;
    if (backlogs) admission.update(backlogs, at);
    const due = sends.filter(send => send.at <= at);
    sends = sends.filter(send => send.at > at);
    for (const {submission, attempt} of due) {
      const retryAfterSeconds = admission.decide(submission, entries.integer(entryCount), at);
      if (retryAfterSeconds === undefined) {
        submit(simulation, submission);
        continue;
      }
      simulation.recordRefusal(submission.id);
      if (attempt > maxRetries) refused.add(submission.id);
      else sends.push({at: at + retryAfterSeconds * 1_000, submission, attempt: attempt + 1});
    }
  }
  return {offered, simulation, refused};
}

function submit(simulation: DispatchSimulation, {id, kind, steps}: OfferedSubmission): void {
  simulation.submit({
    id,
    queue: queues[kind].key,
    service: 'service',
    spec: 'spec',
    steps,
    repetitions: 0,
    startAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: simulation.now,
  });
}
