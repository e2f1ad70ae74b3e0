import type {DispatchState} from './dispatch-state.js';
import type {AdviceTickets} from './placement/advice-tickets.js';
import {Run, type Task} from './task.js';
import type {WorkerView} from './worker-view.js';

/** Size of a start command in bytes without the spec, but with the headers of a TCP segment. */
const startBytes = 300;

/** Sends the commands that start, stop and pace runs. */
export class RunCommands {
  constructor(
    private readonly state: DispatchState,
    private readonly tickets: AdviceTickets,
  ) {}

  /** Starts the next run of a task; `number` is the shared run number of a gang. */
  start(task: Task, worker: WorkerView, at: number, number = task.lastRunNumber + 1): Run {
    const {state} = this;
    const run = new Run(task, number, worker, at);
    task.lastRunNumber = number;
    task.hasStarted = true;
    task.add(run);
    worker.add(run);
    run.order = state.takeCommandNumber();
    run.checkpoint = task.checkpoint;
    state.count('runs_started');
    state.log({
      event: 'run-placed',
      submission: task.submission.id,
      task: task.name,
      run: number,
      worker: worker.life,
      ageMs: Math.round(at - worker.lastContactAt),
      freeCores: worker.capacity.processors - worker.used.processors,
      copy: task.runs.length > 1,
      ...(task.crashes.count > 0 && {crashes: task.crashes.count}),
    });
    const {id, spec} = task.submission.submission;
    const ticket = this.tickets.getTicket(task, worker, at);
    const isSpecKnown = worker.sentSpecs.use(id);
    state.startBudget.take(startBytes + (isSpecKnown ? 0 : spec.length));
    state.send(worker.agent, {
      kind: 'start',
      order: run.order,
      life: worker.life,
      term: state.term,
      task: task.name,
      run: number,
      ...(!isSpecKnown && {spec}),
      deadlineMs: worker.grantDeadline(state.timing.leaseMs, at),
      ...(task.checkpoint !== '' && {checkpoint: task.checkpoint}),
      ...(ticket !== undefined && {ticket}),
    });
    return run;
  }

  /** Stops a run, or repeats the stop. The run stays in the worker's view until its end is known. */
  stop(run: Run, reason: string, at: number): void {
    const {state} = this;
    const isFirst = run.state !== 'stopping' && run.state !== 'unresolved';
    if (run.state !== 'unresolved') run.state = 'stopping';
    run.order = state.takeCommandNumber();
    run.commandSentAt = at;
    if (isFirst) {
      state.count('runs_stopped');
      state.log({
        event: 'run-stopped',
        submission: run.task.submission.id,
        task: run.task.name,
        run: run.number,
        worker: run.worker.life,
        reason,
        percent: run.percent,
      });
    }
    state.send(run.worker.agent, {
      kind: 'stop',
      order: run.order,
      life: run.worker.life,
      term: state.term,
      task: run.task.name,
      run: run.number,
    });
  }

  /** Stops a run whose command had no answer, so that the worker does not start it later. */
  resolveUnanswered(run: Run, reason: string, at: number): void {
    if (run.state !== 'unresolved') {
      run.state = 'unresolved';
      this.state.count('runs_unresolved');
      this.state.log({
        event: 'run-unresolved',
        submission: run.task.submission.id,
        task: run.task.name,
        run: run.number,
        worker: run.worker.life,
        reason,
        ageMs: Math.round(at - run.commandSentAt),
      });
    }
    this.stop(run, reason, at);
  }

  /** Stops every run of a task. */
  stopRuns(task: Task, reason: string, at: number): void {
    for (const run of task.runs) {
      if (run.state === 'starting' || run.state === 'running') this.stop(run, reason, at);
    }
  }

  /** Sets the pace of a filling task's run, in percent of full speed. */
  pace(run: Run, percent: number, reason: string, at: number): void {
    const {state} = this;
    run.pace = percent;
    run.pacedAt = at;
    run.isPaceUnsure = false;
    run.worker.changes += 1;
    state.count('runs_paced');
    state.log({
      event: 'run-paced',
      submission: run.task.submission.id,
      task: run.task.name,
      run: run.number,
      worker: run.worker.life,
      reason,
      percent,
    });
    state.send(run.worker.agent, {
      kind: 'pace',
      order: state.takeCommandNumber(),
      life: run.worker.life,
      term: state.term,
      task: run.task.name,
      run: run.number,
      percent,
    });
  }

  /** Removes a run that has ended or never started; its task is not restarted before `notBefore`. */
  remove(run: Run, notBefore = Number.NEGATIVE_INFINITY): void {
    run.worker.remove(run);
    run.task.remove(run);
    run.task.notBefore = Math.max(run.task.notBefore, notBefore);
    this.state.requestPlacement();
  }
}
