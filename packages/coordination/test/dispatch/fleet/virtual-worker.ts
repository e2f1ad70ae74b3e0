import type {
  OwnerMessage,
  RunEndRow,
  RunOutcome,
  RunRow,
  StartRefusal,
  WorkerDescription,
} from '../../../src/dispatch/index.js';
import {EvacuationView} from '../../../src/evacuation/index.js';
import type {SeededRandom} from '../../../src/routing/seeded-random.js';
import type {Step} from '../../../src/submissions/index.js';

/** Actual behaviour of a task, which the dispatcher does not know. */
export interface TaskBehaviour {
  readonly step: Step;
  /** Run time in milliseconds on a worker of normal speed. */
  readonly durationMs: number;
  /** Number of runs, from the first, that fail through the task's own fault. */
  readonly faultyRuns: number;
}

/** Actual behaviour of the simulated tasks and their load. */
export interface SimulatedWorld {
  readonly random: SeededRandom;
  getBehaviour(task: string): TaskBehaviour;
  /** Returns the load of a serving task without filling tasks. */
  getLoad(task: string, at: number): number;
  /** Returns the load that a filling image on all cores of a worker would add to a serving image. */
  getPressure(serving: string, filling: string): number;
}

interface VirtualRun {
  readonly task: string;
  readonly run: number;
  readonly behaviour: TaskBehaviour;
  /** Time from which the run makes progress, once it has restored its checkpoint. */
  readonly worksFromAt: number;
  workedMs: number;
  pace: number;
  tailMs: number;
  /** Time integral, since the latest list, of the tail latency or of the thousandths of a core in use. */
  measurementSum: number;
  measuredMs: number;
}

/** Options of `VirtualWorker`. */
export interface VirtualWorkerOptions {
  readonly agent: string;
  readonly life: string;
  readonly cores: number;
  readonly rack: string;
  /** `dc` by default. */
  readonly dataCentre?: string;
  /** Factor by which run times are multiplied. */
  readonly slowness?: number;
  /** Ratio of the listed to the actual tail latencies of serving tasks. */
  readonly latencyFactor?: number;
  /** Number of pace commands, from the first, that have no effect. */
  readonly lostPaces?: number;
  /** Whether every run fails. */
  readonly isFailing?: boolean;
  /** Whether runs make no progress. */
  readonly isHung?: boolean;
}

/** Tail latencies in milliseconds of an idle and of an overloaded serving task. */
const baseTailMs = 10;
const overloadedTailMs = 600;
/** Time in milliseconds until a serving task is up. */
export const startupMs = 400;
/** Overhead in milliseconds of resuming from a checkpoint, and time between two checkpoints. */
const restoreMs = 250;
const checkpointIntervalMs = 500;
const memoryMb = 64_000;

/** A simulated worker: runs tasks, measures them and ends them. */
export class VirtualWorker {
  readonly runs = new Map<string, VirtualRun>();
  readonly ends: RunEndRow[] = [];
  /** Highest end that its agent has reported on the present connection; an agent repeats none. */
  lastReportedEnd = 0;
  /** Highest run number that was started or stopped, by task; lower or equal ones are refused. */
  private readonly highestRuns = new Map<string, number>();
  private nextEnd = 1;
  fencingToken = 0;
  /** Evacuated data centres that its agent knows. */
  readonly evacuations = new EvacuationView();
  /** Time at which the lease of all runs expires. */
  leaseEndsAt = 0;
  /** Whether start commands are neither answered nor executed. */
  isUnresponsive = false;
  /** Whether acknowledgements of ends are lost, so that ends stay listed. */
  hasLostAcknowledgements = false;
  slowness: number;
  isFailing: boolean;
  isHung: boolean;
  private remainingLostPaces: number;

  constructor(
    readonly options: VirtualWorkerOptions,
    private readonly world: SimulatedWorld,
  ) {
    this.slowness = options.slowness ?? 1;
    this.isFailing = options.isFailing ?? false;
    this.isHung = options.isHung ?? false;
    this.remainingLostPaces = options.lostPaces ?? 0;
  }

  /** Returns its description of itself. */
  describe(): WorkerDescription {
    const {life, cores, rack} = this.options;
    return {
      life,
      id: life,
      service: 'service',
      dataCentre: this.dataCentre,
      rack,
      labels: ['a', rack],
      capacity: {processors: cores, memoryMb, accelerators: 0, slots: 0},
      state: 'ready',
    };
  }

  /** Its data centre. */
  get dataCentre(): string {
    return this.options.dataCentre ?? 'dc';
  }

  /** Cores reserved by the runs. */
  get reservedCores(): number {
    let sum = 0;
    for (const {behaviour} of this.runs.values()) {
      if (!behaviour.step.fills) sum += behaviour.step.need.processors;
    }
    return sum;
  }

  /** Starts a run; returns the reason of a refusal, or undefined. */
  start(
    order: Extract<OwnerMessage, {kind: 'start'}>,
    at: number,
    token: number,
  ): StartRefusal | undefined {
    if (this.evacuations.has(this.dataCentre)) return 'evacuated';
    if (token < this.fencingToken) return 'fenced';
    this.fencingToken = token;
    if (order.deadlineMs < at) return 'late';
    this.extendLease(order.deadlineMs);
    if (order.run <= (this.highestRuns.get(order.task) ?? 0)) return 'old-run';
    const behaviour = this.world.getBehaviour(order.task);
    const {step} = behaviour;
    const reservedMemoryMb = [...this.runs.values()].reduce(
      (sum, run) => sum + run.behaviour.step.need.memoryMb,
      0,
    );
    if (reservedMemoryMb + step.need.memoryMb > memoryMb) return 'room';
    const cores = step.fills ? 0 : step.need.processors;
    if (this.reservedCores + cores > this.options.cores + 1e-6) return 'room';
    this.highestRuns.set(order.task, order.run);
    const workedMs = order.checkpoint ? Number(order.checkpoint) : 0;
    const worksFromAt = at + (order.checkpoint ? restoreMs : 0);
    this.runs.set(order.task, {
      task: order.task,
      run: order.run,
      behaviour,
      worksFromAt,
      workedMs,
      pace: 100,
      tailMs: 0,
      measurementSum: 0,
      measuredMs: 0,
    });
    return undefined;
  }

  /** Extends the lease of all runs. */
  extendLease(deadlineMs: number): void {
    this.leaseEndsAt = Math.max(this.leaseEndsAt, deadlineMs);
  }

  /** Stops a run; returns whether it was running. */
  stop(task: string, run: number): boolean {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    const present = this.runs.get(task);
    if (present?.run !== run) return false;
    this.finish(present, 'stopped');
    return true;
  }

  /** Ends the run of a task as failed. */
  fail(task: string): void {
    const run = this.runs.get(task);
    if (run !== undefined) this.finish(run, 'failed');
  }

  /** Sets the pace of a run. */
  pace(task: string, run: number, percent: number): void {
    if (this.remainingLostPaces > 0) {
      this.remainingLostPaces -= 1;
      return;
    }
    const present = this.runs.get(task);
    if (present?.run === run) present.pace = percent;
  }

  /** Advances all runs by a time in milliseconds; returns whether any has ended. */
  advance(at: number, ms: number): boolean {
    const before = this.ends.length;
    if (at > this.leaseEndsAt) for (const run of this.runs.values()) this.finish(run, 'lapsed');
    const fillers = [...this.runs.values()].filter(run => run.behaviour.step.fills);
    let usedCores = 0;
    for (const run of this.runs.values()) {
      const {step} = run.behaviour;
      if (step.lasting) usedCores += step.need.processors * this.world.getLoad(run.task, at);
      else if (!step.fills) usedCores += step.need.processors;
    }
    const wantedCores = fillers.reduce((sum, run) => sum + getPacedCores(run), 0);
    const fillingSpeed =
      wantedCores > 0 ? Math.min(1, Math.max(0, this.options.cores - usedCores) / wantedCores) : 1;
    for (const run of [...this.runs.values()]) this.advanceRun(run, fillingSpeed, at, ms);
    for (const run of this.runs.values()) {
      const {step} = run.behaviour;
      if (step.lasting) run.tailMs = this.getTail(run, fillers, fillingSpeed, at);
      const cores = step.fills ? getPacedCores(run) * fillingSpeed : step.need.processors;
      run.measurementSum += (step.lasting ? run.tailMs : cores * 1000) * ms;
      run.measuredMs += ms;
    }
    return this.ends.length > before;
  }

  /** Returns all runs, with their average measurements since the previous list. */
  list(): RunRow[] {
    return [...this.runs.values()].map(run => [
      run.task,
      run.run,
      run.behaviour.step.checkpoints ? this.getCheckpoint(run) : '',
      this.getPercent(run),
      this.takeMeasurement(run),
    ]);
  }

  private takeMeasurement(run: VirtualRun): number {
    const {latencyFactor = 1} = this.options;
    const factor = run.behaviour.step.lasting ? latencyFactor : 1;
    const average = run.measuredMs > 0 ? (run.measurementSum * factor) / run.measuredMs : 0;
    run.measurementSum = 0;
    run.measuredMs = 0;
    return Math.round(average * (0.95 + this.world.random.next() * 0.1));
  }

  private advanceRun(run: VirtualRun, fillingSpeed: number, at: number, ms: number): void {
    if (at < run.worksFromAt || this.isHung) return;
    const {step, durationMs, faultyRuns} = run.behaviour;
    const speed = step.fills ? (fillingSpeed * run.pace) / 100 : 1;
    run.workedMs += (ms * speed) / this.slowness;
    if (step.lasting) return;
    const isFaulty = run.run <= faultyRuns || this.isFailing;
    if (isFaulty && run.workedMs >= durationMs * 0.4) this.finish(run, 'failed');
    else if (run.workedMs >= durationMs) this.finish(run, 'done');
  }

  private getTail(
    run: VirtualRun,
    fillers: readonly VirtualRun[],
    fillingSpeed: number,
    at: number,
  ): number {
    let pressure = 0;
    const serving = run.behaviour.step.image ?? '';
    for (const filler of fillers) {
      const {image = ''} = filler.behaviour.step;
      const part = (getPacedCores(filler) * fillingSpeed) / this.options.cores;
      pressure += part * this.world.getPressure(serving, image);
    }
    const load = this.world.getLoad(run.task, at) + pressure;
    const tailMs = load < 0.98 ? baseTailMs / (1 - load) : overloadedTailMs;
    // Queued requests drain over time.
    return run.tailMs > tailMs ? Math.max(tailMs, run.tailMs * 0.93) : tailMs;
  }

  private getPercent(run: VirtualRun): number {
    const {step, durationMs} = run.behaviour;
    const totalMs = step.lasting ? startupMs : durationMs;
    return Math.min(step.lasting ? 100 : 99, Math.floor((100 * run.workedMs) / totalMs));
  }

  private getCheckpoint(run: VirtualRun): string {
    const savedMs = Math.floor(run.workedMs / checkpointIntervalMs) * checkpointIntervalMs;
    return savedMs > 0 ? String(savedMs) : '';
  }

  private finish(run: VirtualRun, how: RunOutcome): void {
    this.runs.delete(run.task);
    const checkpoint =
      how === 'stopped' && run.behaviour.step.checkpoints ? String(Math.floor(run.workedMs)) : '';
    this.ends.push([this.nextEnd++, run.task, run.run, how, checkpoint]);
  }
}

function getPacedCores(run: VirtualRun): number {
  return (run.behaviour.step.need.processors * run.pace) / 100;
}

/** Creates the options of equal workers `w0`, `w1` and so on, with the incarnations `life-0`, `life-1` and so on. */
export function createWorkers(count: number): VirtualWorkerOptions[] {
  return Array.from({length: count}, (_, index) => ({
    agent: `w${index}`,
    life: `life-${index}`,
    cores: 16,
    rack: 'r0',
  }));
}
