import type {ActiveSubmission} from './active-submission.js';
import {StepTasks} from './step-tasks.js';

/** One occurrence of a submission; an unscheduled submission has exactly one. */
export class Occurrence {
  readonly steps: readonly StepTasks[];
  /** Whether it has been seen running. */
  hasRun = false;
  /** Time since which it has not been seen running. */
  idleSince: number;

  constructor(
    readonly submission: ActiveSubmission,
    readonly index: number,
    /** Time from which its objective is measured. */
    readonly dueAt: number,
    /** Whether its tasks may start; a previous owner, whose clock was ahead, may have started it early. */
    public isDue: boolean,
  ) {
    this.idleSince = dueAt;
    this.steps = submission.submission.steps.map((step, i) => new StepTasks(this, i, step));
  }

  /** Records the number of its runs. */
  recordRuns(runs: number, at: number): void {
    if (runs > 0) {
      this.hasRun = true;
      this.idleSince = at;
    }
  }

  /** Whether all tasks of all steps are finished. */
  get isFinished(): boolean {
    return this.steps.every(step => step.isFinished);
  }

  /** Returns the unfinished steps whose predecessors are all finished. */
  getReadySteps(): StepTasks[] {
    return this.steps.filter(
      step => !step.isFinished && step.step.after.every(before => this.steps[before]?.isFinished),
    );
  }
}
