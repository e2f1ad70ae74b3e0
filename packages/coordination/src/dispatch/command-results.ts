import type {AgentMessage, StartRefusal} from './agent-messages.js';
import type {DispatchState} from './dispatch-state.js';
import type {AdviceTickets} from './placement/advice-tickets.js';
import type {RunCommands} from './run-commands.js';
import type {Run} from './task.js';
import type {WorkerView} from './worker-view.js';

/** Time in milliseconds for which a worker gets no tasks after it refused one for lack of resources. */
const noResourcesBlockMs = 250;
/** The same after a refusal because the worker was busy, draining, replaced or evacuated. */
const busyBlockMs = 1_000;
/** Delay in milliseconds before a task is restarted after a worker could not parse its start command. */
const invalidDelayMs = 2_000;

/** Handles the results of commands, and resolves commands that have none. */
export class CommandResults {
  constructor(
    private readonly state: DispatchState,
    private readonly commands: RunCommands,
    private readonly tickets: AdviceTickets,
  ) {}

  /**
   * Handles the result of a command; ignores results of superseded commands, of pace commands and of the commands of
   * other owners, whose numbers are not those of this one.
   */
  handleResult(
    worker: WorkerView,
    {order, term, outcome}: Extract<AgentMessage, {kind: 'result'}>,
    at: number,
  ): void {
    if (term !== this.state.term) {
      this.state.count('results_of_other_terms');
      return;
    }
    const run = [...worker.runs.values()].find(candidate => candidate.order === order);
    if (run === undefined) return;
    if (outcome.kind !== 'unknown') worker.lastContactAt = at;
    switch (outcome.kind) {
      case 'accepted':
        if (run.state !== 'starting') return;
        run.state = 'running';
        run.confirmedAt ??= at;
        run.task.submission.hasStarted = true;
        this.state.observe('run_start', at - run.startedAt);
        return;
      case 'refused':
        return this.refuse(worker, run, outcome.reason, at);
      case 'stopped':
        if (!outcome.listed) this.removeLost(run, 'not-on-worker');
        else if (run.state === 'unresolved') run.state = 'stopping';
        return;
      case 'unknown':
        return this.commands.resolveUnanswered(run, 'no-answer', at);
    }
  }

  private refuse(worker: WorkerView, run: Run, reason: StartRefusal, at: number): void {
    const {state, commands} = this;
    state.count(`runs_refused_${reason}`);
    state.log({
      event: 'run-refused',
      submission: run.task.submission.id,
      task: run.task.name,
      run: run.number,
      worker: worker.life,
      reason,
    });
    if (run.state === 'stopping' || run.state === 'unresolved') {
      // The refused command was a stop; `resolveOverdue` repeats it.
      if (reason === 'fenced') state.emit({kind: 'deposed', reason: 'fenced-by-worker'});
      return;
    }
    switch (reason) {
      case 'fenced':
        state.emit({kind: 'deposed', reason: 'fenced-by-worker'});
        return;
      case 'room':
        worker.blockedUntil = at + noResourcesBlockMs;
        break;
      case 'busy':
        worker.blockedUntil = at + busyBlockMs;
        break;
      case 'draining':
      case 'other-life':
      case 'evacuated':
        // An agent may know of an evacuation or a new incarnation before this process does.
        worker.blockedUntil = at + busyBlockMs;
        break;
      case 'ticket':
        this.tickets.reject(run.task, worker, at);
        break;
      case 'spec-unknown':
        worker.sentSpecs.clear();
        break;
      case 'invalid':
        commands.remove(run, at + invalidDelayMs);
        return;
      default:
        break;
    }
    commands.remove(run);
  }

  /** Removes a run that is gone and whose end was never listed. */
  removeLost(run: Run, reason: string): void {
    const {state, commands} = this;
    state.log({
      event: 'run-lost',
      submission: run.task.submission.id,
      task: run.task.name,
      run: run.number,
      worker: run.worker.life,
      reason,
    });
    state.count('runs_lost');
    commands.remove(run);
  }

  /** Resolves start commands and repeats stops that have had no result for too long. */
  resolveOverdue(worker: WorkerView, at: number): void {
    const {state, commands} = this;
    const {startTimeoutMs, stopRetryMs, stopMs} = state.timing;
    for (const run of worker.runs.values()) {
      const ageMs = at - run.commandSentAt;
      if (run.state === 'starting' && ageMs >= startTimeoutMs)
        commands.resolveUnanswered(run, 'no-result', at);
      else if (run.state === 'unresolved' && ageMs >= stopRetryMs + stopMs) {
        commands.resolveUnanswered(run, 'no-result', at);
      } else if (run.state === 'stopping' && ageMs >= stopRetryMs + stopMs) {
        commands.stop(run, 'repeated', at);
      }
    }
  }
}
