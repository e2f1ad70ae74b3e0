import {
  type CandidateOrder,
  Dispatcher,
  type DispatchEffect,
  type DispatchEvent,
  type DispatchTiming,
  type OwnerMessage,
  type Queue,
  type QueueBacklogs,
  type QueueConfiguration,
  type Step,
  type Submission,
} from '@chervilbeam/coordination';

/** Times in milliseconds between simulation steps, reports of a worker, and ticks of the dispatcher. */
const stepMs = 25;
const reportIntervalMs = 500;
const tickIntervalMs = 100;
/** Delay in milliseconds of a message between dispatcher and worker, and of a write to the store. */
const deliveryDelayMs = 5;
/** Time in milliseconds that a run loses when it resumes from a checkpoint. */
const restoreMs = 250;

interface SimulatedRun {
  readonly task: string;
  readonly run: number;
  readonly step: Step;
  readonly durationMs: number;
  readonly worksFromAt: number;
  workedMs: number;
}

type StartOrder = Extract<OwnerMessage, {kind: 'start'}>;
type EndRow = [number, string, number, 'done' | 'stopped', string];

/** A worker: finite tasks that reserve processors run at full speed, filling tasks share the other processors. */
class SimulatedWorker {
  readonly runs = new Map<string, SimulatedRun>();
  readonly ends: EndRow[] = [];
  reportedEnd = 0;
  private nextEnd = 1;

  constructor(
    readonly agent: string,
    readonly cores: number,
  ) {}

  start({task, run, checkpoint}: StartOrder, step: Step, durationMs: number, at: number): boolean {
    if (!step.fills && this.reservedCores + step.need.processors > this.cores + 1e-6) return false;
    const workedMs = checkpoint ? Number(checkpoint) : 0;
    const worksFromAt = at + (checkpoint ? restoreMs : 0);
    this.runs.set(task, {task, run, step, durationMs, worksFromAt, workedMs});
    return true;
  }

  stop(task: string, number: number): boolean {
    const run = this.runs.get(task);
    if (run?.run !== number) return false;
    this.end(run, 'stopped', run.step.checkpoints ? String(Math.floor(run.workedMs)) : '');
    return true;
  }

  /** Advances all runs; returns whether any has ended. */
  advance(at: number, use: (task: string, coreMs: number) => void): boolean {
    const before = this.ends.length;
    let wanted = 0;
    for (const {step} of this.runs.values()) if (step.fills) wanted += step.need.processors;
    const speed = Math.min(1, (this.cores - this.reservedCores) / Math.max(1e-9, wanted));
    for (const run of [...this.runs.values()]) {
      if (at < run.worksFromAt) continue;
      const workedMs = run.step.fills ? stepMs * speed : stepMs;
      run.workedMs += workedMs;
      use(run.task, workedMs * run.step.need.processors);
      if (run.workedMs >= run.durationMs) this.end(run, 'done', '');
    }
    return this.ends.length > before;
  }

  private get reservedCores(): number {
    let sum = 0;
    for (const {step} of this.runs.values()) if (!step.fills) sum += step.need.processors;
    return sum;
  }

  private end(run: SimulatedRun, how: 'done' | 'stopped', checkpoint: string): void {
    this.runs.delete(run.task);
    this.ends.push([this.nextEnd++, run.task, run.run, how, checkpoint]);
  }
}

/** Options of `DispatchSimulation`. */
export interface DispatchSimulationOptions {
  /** Processors of each worker. */
  readonly workerCores: readonly number[];
  readonly queues: readonly Queue[];
  readonly timing: Partial<DispatchTiming>;
  readonly order?: CandidateOrder;
  /** Time until which the use of processors is counted. */
  readonly countedUntilMs: number;
  /** Returns the actual run time of a task in milliseconds. */
  readonly getDurationMs: (submission: string, step: number, index: number) => number;
}

/** Runs the real dispatcher with simulated workers and a simulated store in virtual time. */
export class DispatchSimulation {
  now = 0;
  readonly endedAt = new Map<string, number>();
  readonly counts = new Map<string, number>();
  /** Processor time in core-milliseconds that the runs of each submission have used until `countedUntilMs`. */
  readonly usedCoreMs = new Map<string, number>();
  /** Real time in milliseconds spent in placement rounds, and their number. */
  placementMs = 0;
  placementRounds = 0;
  private readonly dispatcher: Dispatcher;
  private readonly workers: ReadonlyMap<string, SimulatedWorker>;
  private readonly submissions = new Map<string, Submission>();
  private scheduled: Array<{readonly at: number; readonly action: () => void}> = [];

  constructor(private readonly options: DispatchSimulationOptions) {
    this.dispatcher = new Dispatcher(options.timing, options.order);
    this.workers = new Map(
      options.workerCores.map((cores, index) => [
        `w${index}`,
        new SimulatedWorker(`w${index}`, cores),
      ]),
    );
    const configuration: QueueConfiguration = {
      version: 1,
      queues: new Map(options.queues.map(queue => [queue.key, queue])),
      services: new Map([['service', {name: 'service', enforcesCapacity: true, standby: false}]]),
      maxBodyBytes: 262_144,
      maxHeaderBytes: 16_384,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    };
    this.post({kind: 'configuration', configuration});
    this.post({
      kind: 'begin',
      term: 1,
      generation: 1,
      submissions: [],
      deferred: [],
      roster: [],
      wallMs: 0,
    });
    for (const worker of this.workers.values()) this.connect(worker);
  }

  submit(submission: Submission): void {
    this.submissions.set(submission.id, submission);
    this.post({kind: 'submitted', submission});
  }

  getBacklogs(): QueueBacklogs | undefined {
    return this.dispatcher.getQueueBacklogs(this.now);
  }

  /** Records that an entry asks for a submission before it refuses it. */
  recordRefusal(id: string): void {
    this.dispatcher.lookUp(id, this.now);
  }

  /** Runs until a virtual time in milliseconds. */
  run(until: number): void {
    while (this.now < until) {
      this.now += stepMs;
      const due = this.scheduled.filter(({at}) => at <= this.now);
      this.scheduled = this.scheduled.filter(({at}) => at > this.now);
      for (const {action} of due) action();
      let phase = 0;
      for (const worker of this.workers.values()) {
        phase += 75;
        const hasEnded = worker.advance(this.now, (task, coreMs) => this.use(task, coreMs));
        if (hasEnded || (this.now + phase) % reportIntervalMs < stepMs) this.report(worker);
      }
      if (this.now % tickIntervalMs === 0) this.post({kind: 'tick', wallMs: this.now});
      this.settle();
    }
  }

  private use(task: string, coreMs: number): void {
    if (this.now > this.options.countedUntilMs) return;
    const id = task.slice(0, task.indexOf('.'));
    this.usedCoreMs.set(id, (this.usedCoreMs.get(id) ?? 0) + coreMs);
  }

  private settle(): void {
    const startedAtNs = process.hrtime.bigint();
    this.post({kind: 'place'});
    this.placementMs += Number(process.hrtime.bigint() - startedAtNs) / 1e6;
    this.placementRounds += 1;
    this.post({kind: 'settle'});
  }

  private connect(worker: SimulatedWorker): void {
    const {agent, cores} = worker;
    this.post({kind: 'agent-up', agent});
    this.post({
      kind: 'message',
      agent,
      message: {
        kind: 'worker',
        worker: {
          life: `life-${agent}`,
          id: agent,
          service: 'service',
          dataCentre: 'dc',
          rack: 'r0',
          labels: [],
          capacity: {processors: cores, memoryMb: 4_000 * cores, accelerators: 0, slots: 0},
          state: 'ready',
        },
      },
    });
    this.settle();
    this.report(worker);
  }

  private post(event: DispatchEvent): void {
    for (const effect of this.dispatcher.reduce(event, this.now)) this.apply(effect);
  }

  private apply(effect: DispatchEffect): void {
    if (effect.kind === 'send') {
      this.schedule(() => this.deliver(effect.agent, effect.message));
    } else if (effect.kind === 'count') {
      this.counts.set(effect.name, (this.counts.get(effect.name) ?? 0) + effect.by);
    } else if (effect.kind === 'write') {
      this.schedule(() => {
        for (const {id, record} of effect.write.progress) {
          if (record.final !== undefined) this.endedAt.set(id, this.now);
        }
        const {sequence} = effect;
        this.post({kind: 'written', sequence, result: 'ok', revision: sequence + 1});
      });
    }
  }

  private schedule(action: () => void): void {
    this.scheduled.push({at: this.now + deliveryDelayMs, action});
  }

  private deliver(agent: string, message: OwnerMessage): void {
    const worker = this.workers.get(agent);
    if (worker === undefined) return;
    if (message.kind === 'lease') {
      const index = worker.ends.findIndex(end => end[0] > message.acknowledged);
      worker.ends.splice(0, index < 0 ? worker.ends.length : index);
    } else if (message.kind === 'start') {
      const [id = '', , step = '0', index = '0'] = message.task.split('.');
      const description = this.submissions.get(id)?.steps[Number(step)];
      if (description === undefined) throw new RangeError(`no step of ${message.task}`);
      const durationMs = this.options.getDurationMs(id, Number(step), Number(index));
      const hasRoom = worker.start(message, description, durationMs, this.now);
      this.result(agent, message, hasRoom ? {kind: 'accepted'} : {kind: 'refused', reason: 'room'});
    } else if (message.kind === 'stop') {
      this.result(agent, message, {
        kind: 'stopped',
        listed: worker.stop(message.task, message.run),
      });
    }
  }

  private result(
    agent: string,
    {order, term}: Extract<OwnerMessage, {kind: 'start' | 'stop'}>,
    outcome: Extract<
      Extract<DispatchEvent, {kind: 'message'}>['message'],
      {kind: 'result'}
    >['outcome'],
  ): void {
    this.schedule(() =>
      this.post({kind: 'message', agent, message: {kind: 'result', order, term, outcome}}),
    );
  }

  private report(worker: SimulatedWorker): void {
    const {reportedEnd} = worker;
    worker.reportedEnd = Math.max(reportedEnd, ...worker.ends.map(([end]) => end));
    this.post({
      kind: 'message',
      agent: worker.agent,
      message: {
        kind: 'report',
        life: `life-${worker.agent}`,
        term: 1,
        token: 1,
        clockMs: this.now,
        running: [...worker.runs.values()].map(run => [
          run.task,
          run.run,
          run.step.checkpoints ? String(Math.floor(run.workedMs)) : '',
          Math.min(99, Math.floor((100 * run.workedMs) / run.durationMs)),
          Math.round(run.step.need.processors * 1_000),
        ]),
        ends: worker.ends.filter(([end]) => end > reportedEnd),
      },
    });
  }
}
