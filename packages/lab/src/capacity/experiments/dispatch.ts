import {
  type AgentMessage,
  type DispatchEvent,
  Dispatcher,
  getQueueKey,
  type OwnerMessage,
  type Queue,
  type QueueConfiguration,
  type RunEndRow,
  type Step,
  type Submission,
} from '@chervilbeam/coordination';
import type {CapacityExperiment} from '../experiment.js';
import {measureMs} from '../meters.js';
import {sizesInTwoYears} from '../sizes.js';

const service = 'press';
const queue: Queue = {
  key: getQueueKey('queues.example', '/proofs/'),
  host: 'queues.example',
  prefix: '/proofs/',
  name: 'proofs',
  service,
  priority: 1,
  maxAttempts: 3,
  stretchFactor: 2,
  targetLatencyMs: 1_000,
  timeoutMs: 3_000,
};
const configuration: QueueConfiguration = {
  version: 1,
  queues: new Map([[queue.key, queue]]),
  services: new Map([[service, {name: service, enforcesCapacity: true, standby: false}]]),
  maxBodyBytes: 262_144,
  maxHeaderBytes: 16_384,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Times in milliseconds: a step of the simulation, a tick, the interval between two lists of a worker. */
const stepMs = 25;
const tickIntervalMs = 100;
const listIntervalMs = 500;
/** Time in milliseconds after which all workers are connected, and time for which the cost is measured. */
const warmUpMs = 2_000;
const measuredMs = 4_000;
const runTimeMs = 20_000;
const tasksOfSubmission = 20;
const termOfOwner = 7;

interface SimulatedRun {
  readonly run: number;
  readonly endsAt: number;
}

/** A worker that accepts every start and ends each run in time. */
interface SimulatedWorker {
  readonly agent: string;
  readonly life: string;
  readonly runs: Map<string, SimulatedRun>;
  readonly ends: RunEndRow[];
  nextEnd: number;
}

function createSubmission(index: number, at: number): Submission {
  const step: Step = {
    count: tasksOfSubmission,
    need: {processors: 1, memoryMb: 500, accelerators: 0, slots: 0},
    estimatedMs: runTimeMs,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    speculative: false,
    lasting: false,
    fills: false,
  };
  return {
    id: index.toString(16).padStart(16, '0'),
    queue: queue.key,
    service,
    spec: 'spec',
    steps: [step],
    repetitions: 0,
    startAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: at,
  };
}

/** An owner with its workers, to which submissions are added at the rate that two years bring for their number. */
class SimulatedOwner {
  ms = 0;
  starts = 0;
  private readonly dispatcher = new Dispatcher();
  private readonly workers = new Map<string, SimulatedWorker>();
  private now = 0;
  private outstanding: DispatchEvent[] = [];

  constructor(size: number) {
    this.post({kind: 'configuration', configuration});
    const submissions = {submissions: [], roster: [], wallMs: 0};
    this.post({kind: 'begin', term: termOfOwner, generation: 1, ...submissions});
    for (let index = 0; index < size; index += 1) {
      const agent = `agent-${index}`;
      const worker = {agent, life: `worker-${index}`, runs: new Map(), ends: [], nextEnd: 1};
      this.workers.set(agent, worker);
      this.connect(worker, index);
    }
  }

  /** Runs until a time in milliseconds; `submissionsPerMs` arrive evenly. */
  run(until: number, submissionsPerMs: number): void {
    let due = 0;
    while (this.now < until) {
      this.now += stepMs;
      for (const event of this.outstanding.splice(0)) this.post(event);
      due += submissionsPerMs * stepMs;
      for (; due >= 1; due -= 1) {
        const submission = createSubmission(this.now * 1_000 + Math.floor(due), this.now);
        this.post({kind: 'submitted', submission});
      }
      [...this.workers.values()].forEach((worker, index) => this.advance(worker, index));
      if (this.now % tickIntervalMs === 0) this.post({kind: 'tick', wallMs: this.now});
      this.post({kind: 'place'});
      this.post({kind: 'settle'});
    }
  }

  private connect({agent, life}: SimulatedWorker, index: number): void {
    const capacity = {processors: 16, memoryMb: 60_000, accelerators: 0, slots: 0};
    this.post({kind: 'agent-up', agent});
    this.receive(agent, {
      kind: 'worker',
      worker: {
        ...{life, id: life, service, dataCentre: `dc-${index % sizesInTwoYears.dataCentres}`},
        ...{rack: `rack-${index % 12}`, labels: [], capacity, state: 'ready'},
      },
    });
  }

  private advance(worker: SimulatedWorker, index: number): void {
    let hasEnded = false;
    for (const [task, {run, endsAt}] of worker.runs) {
      if (endsAt > this.now) continue;
      worker.runs.delete(task);
      worker.ends.push([worker.nextEnd++, task, run, 'done', '']);
      hasEnded = true;
    }
    const isListDue = (this.now + index * stepMs) % listIntervalMs === 0;
    if (!hasEnded && !isListDue) return;
    this.receive(worker.agent, {
      kind: 'report',
      life: worker.life,
      term: termOfOwner,
      clockMs: this.now,
      running: [...worker.runs].map(([task, {run, endsAt}]) => {
        const percent = Math.floor(100 * (1 - (endsAt - this.now) / runTimeMs));
        return [task, run, '', Math.min(99, percent), 900] as const;
      }),
      ends: [...worker.ends],
    });
  }

  private receive(agent: string, message: AgentMessage): void {
    this.post({kind: 'message', agent, message});
  }

  private post(event: DispatchEvent): void {
    let effects: ReturnType<Dispatcher['reduce']> = [];
    this.ms += measureMs(() => {
      effects = this.dispatcher.reduce(event, this.now);
    });
    for (const effect of effects) {
      if (effect.kind === 'write') {
        const {sequence} = effect;
        this.outstanding.push({kind: 'written', sequence, result: 'ok'});
      } else if (effect.kind === 'send') this.deliver(effect.agent, effect.message);
    }
  }

  private deliver(agent: string, message: OwnerMessage): void {
    const worker = this.workers.get(agent);
    if (worker === undefined) return;
    if (message.kind === 'start') {
      this.starts += 1;
      worker.runs.set(message.task, {run: message.run, endsAt: this.now + runTimeMs});
      const outcome = {kind: 'accepted'} as const;
      const result = {kind: 'result', order: message.order, term: message.term, outcome} as const;
      this.outstanding.push({kind: 'message', agent, message: result});
    } else if (message.kind === 'lease') {
      const index = worker.ends.findIndex(([end]) => end > message.acknowledged);
      worker.ends.splice(0, index < 0 ? worker.ends.length : index);
    }
  }
}

/** Cost of the owner of the submissions by the workers, with starts and running tasks in proportion. */
export const dispatchWorkers: CapacityExperiment = {
  name: 'dispatch by workers',
  role: 'deciding entry',
  driver: 'workers',
  sizes: [11, 40, 160, 600, 1_200, sizesInTwoYears.hosts],
  today: 160,
  inTwoYears: sizesInTwoYears.hosts,
  metrics: {
    msPerSecond: {
      unit: 'ms/s',
      mechanism: 'lists of the workers twice a second, placement rounds, ends of runs',
    },
    microsecondsPerStart: {unit: 'µs', mechanism: 'the same, divided by the starts'},
  },
  measure(size) {
    const owner = new SimulatedOwner(size);
    const startsPerMs = (sizesInTwoYears.startsPerSecond / 1_000) * (size / sizesInTwoYears.hosts);
    owner.run(warmUpMs, startsPerMs / tasksOfSubmission);
    owner.ms = 0;
    owner.starts = 0;
    owner.run(warmUpMs + measuredMs, startsPerMs / tasksOfSubmission);
    return {
      msPerSecond: (owner.ms / measuredMs) * 1_000,
      microsecondsPerStart: (owner.ms * 1_000) / Math.max(1, owner.starts),
    };
  },
};
