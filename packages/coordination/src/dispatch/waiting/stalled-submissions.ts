import {getDueMs} from '../../submissions/index.js';
import type {ActiveSubmission} from '../active-submission.js';
import type {DispatchState} from '../dispatch-state.js';
import type {Occurrence} from '../occurrence.js';
import type {WorkerSelector} from '../placement/worker-selector.js';
import {WaitExplainer} from './wait-explainer.js';
import type {WaitExplanation} from './wait-explanation.js';

/** Time in milliseconds without a run after which a submission whose turn has come is stalled. */
const stallMs = 3_000;
/** Shortest and longest time in milliseconds between two lines of a submission; each one is twice as long as the one before. */
const firstPauseMs = 5_000;
const maxPauseMs = 60_000;
/** Time in milliseconds between two checks of all submissions, and largest number of lines of each. */
const checkIntervalMs = 1_000;
const maxLinesPerCheck = 5;

/** A submission of which nothing runs. */
interface Stall {
  /** The occurrence whose turn has come; absent for a submission that is not loaded. */
  readonly occurrence?: Occurrence;
  readonly since: number;
  /** Time of the next line. */
  lineAt: number;
  pauseMs: number;
  isCounted: boolean;
}

/** Logs and counts submissions whose turn has come and of which nothing runs for longer than `stallMs`. */
export class StalledSubmissions {
  private stalls = new Map<string, Stall>();
  private checkedAt = Number.NEGATIVE_INFINITY;

  /** `createSelector` returns a selector that does not change what the placement finds. */
  constructor(
    private readonly state: DispatchState,
    private readonly createSelector: (at: number) => WorkerSelector,
  ) {}

  /** Checks all submissions; does nothing when the last check was less than `checkIntervalMs` ago. */
  check(at: number): void {
    if (at - this.checkedAt < checkIntervalMs) return;
    this.checkedAt = at;
    this.update(at);
    const stalled = [...this.stalls].filter(([, {isCounted}]) => isCounted);
    const due = stalled
      .filter(([, {lineAt}]) => lineAt <= at)
      .sort(([, a], [, b]) => a.lineAt - b.lineAt)
      .slice(0, maxLinesPerCheck);
    if (due.length === 0) return;
    const oldestMs = Math.round(Math.max(...stalled.map(([, {since}]) => at - since)));
    const explainer = new WaitExplainer(this.state, this.createSelector(at), at);
    for (const [id, stall] of due) {
      this.log(id, stall, explainer, {stalled: stalled.length, oldestMs}, at);
      stall.lineAt = at + stall.pauseMs;
      stall.pauseMs = Math.min(maxPauseMs, stall.pauseMs * 2);
    }
  }

  /** Forgets all submissions, as the ownership ends. */
  clear(): void {
    for (const stall of this.stalls.values()) this.countEnd(stall, this.checkedAt);
    this.stalls.clear();
  }

  private update(at: number): void {
    const former = this.stalls;
    this.stalls = new Map();
    for (const [id, submission] of this.state.submissions) {
      const occurrence = findIdleOccurrence(submission);
      if (occurrence !== undefined) this.observe(id, occurrence, former.get(id), at);
    }
    const unixMs = this.state.getUnixMs(at);
    for (const {submission} of this.state.deferred.values()) {
      if (getDueMs(submission, 0) > unixMs) continue;
      this.observe(submission.id, undefined, former.get(submission.id), at);
    }
    for (const [id, stall] of former) {
      if (this.stalls.get(id) !== stall) this.countEnd(stall, at);
    }
  }

  private observe(
    id: string,
    occurrence: Occurrence | undefined,
    former: Stall | undefined,
    at: number,
  ): void {
    const stall =
      former !== undefined && former.occurrence === occurrence
        ? former
        : createStall(occurrence, at);
    this.stalls.set(id, stall);
    if (stall.isCounted || at - stall.since < stallMs) return;
    stall.isCounted = true;
    this.state.count('submissions_stalled');
  }

  private countEnd({isCounted, since}: Stall, at: number): void {
    if (!isCounted) return;
    this.state.count('submissions_stalled_ended');
    this.state.observe('submission_stall', at - since);
  }

  private log(
    id: string,
    {occurrence, since}: Stall,
    explainer: WaitExplainer,
    totals: {readonly stalled: number; readonly oldestMs: number},
    at: number,
  ): void {
    const {state} = this;
    const waitMs = Math.round(at - since);
    const [group] = occurrence?.getReadySteps() ?? [];
    if (occurrence === undefined || group === undefined) {
      const bytes = state.deferred.get(id)?.bytes ?? 0;
      const {loadedBytes} = state;
      const event = 'task-waiting';
      state.log({
        event,
        submission: id,
        reason: 'not-loaded',
        waitMs,
        bytes,
        loadedBytes,
        ...totals,
      });
      return;
    }
    state.log({
      event: 'task-waiting',
      submission: id,
      ...describe(explainer.explain(group)),
      waitMs,
      ageMs: Math.round(at - occurrence.dueAt),
      ...totals,
    });
  }
}

function createStall(occurrence: Occurrence | undefined, since: number): Stall {
  return {
    ...(occurrence && {occurrence}),
    since,
    lineAt: since + stallMs,
    pauseMs: firstPauseMs,
    isCounted: false,
  };
}

/** Returns an occurrence that is due, has a ready step and has no run that works; undefined when there is none. */
function findIdleOccurrence({isActive, occurrences}: ActiveSubmission): Occurrence | undefined {
  if (!isActive) return undefined;
  return occurrences.find(
    occurrence =>
      occurrence.isDue && !hasWorkingRun(occurrence) && occurrence.getReadySteps().length > 0,
  );
}

function hasWorkingRun({steps}: Occurrence): boolean {
  for (const {knownTasks} of steps) {
    for (const {runs} of knownTasks) {
      // A start that is refused time and again does not work, although its run exists most of the time.
      if (runs.some(({state}) => state === 'running')) return true;
    }
  }
  return false;
}

/** Returns an explanation as fields of a log line. */
function describe({holds, refusals, ...fields}: WaitExplanation): {
  readonly [field: string]: string | number;
} {
  return {
    ...fields,
    ...(holds && {holds: formatCounts(holds)}),
    ...(refusals && {refusals: formatCounts(refusals)}),
  };
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts]
    .sort((a, b) => b[1] - a[1])
    .map(([name, count]) => `${name}:${count}`)
    .join(' ');
}
