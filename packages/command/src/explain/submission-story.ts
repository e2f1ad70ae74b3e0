import {mergeEvents} from '@chervilbeam/coordination';
import {getNumber, getText, type LogLine} from './log-line.js';

/** Events that concern all submissions; those within the time of a story are part of it. */
const sharedEvents = new Set([
  'ownership-claimed',
  'ownership-begun',
  'ownership-ended',
  'recovery-finished',
  'host-suspended',
  'lines-omitted',
]);

/** Events of a worker; those of the workers that a story names are part of it. */
const workerEvents = new Set([
  'worker-gone',
  'worker-draining',
  'worker-unreachable',
  'worker-reachable',
  'worker-suspended',
]);

/** Everything that the logs of all processes tell about one submission or one of its tasks. */
export class SubmissionStory {
  /** Lines in order of time. Clocks of different hosts may disagree by some milliseconds. */
  readonly lines: readonly LogLine[];
  /** The lines that name the id itself. */
  private readonly ownLines: readonly LogLine[];

  /** `id` is the id of a submission or the name of a task. */
  constructor(
    readonly id: string,
    logs: ReadonlyArray<readonly LogLine[]>,
  ) {
    const all = mergeEvents(logs, ({stamp, process, event, fields}) =>
      [stamp, process, event, JSON.stringify(fields)].join(' '),
    );
    this.ownLines = all.filter(line => this.concerns(line));
    const first = this.ownLines[0]?.stamp ?? Number.POSITIVE_INFINITY;
    const last = this.ownLines.at(-1)?.stamp ?? Number.NEGATIVE_INFINITY;
    const workers = new Set(this.ownLines.map(line => getText(line, 'worker')));
    const own = new Set(this.ownLines);
    this.lines = all.filter(line => {
      if (own.has(line)) return true;
      if (line.stamp < first || line.stamp > last) return false;
      if (workerEvents.has(line.event)) return workers.has(getText(line, 'worker'));
      return sharedEvents.has(line.event);
    });
  }

  /** Whether the logs name the id at all. */
  get isEmpty(): boolean {
    return this.ownLines.length === 0;
  }

  /** Returns sentences that say how it ended and which decisions led there, the decisive ones first. */
  getFindings(): readonly string[] {
    const findings = [
      ...this.explainAnswers(),
      ...this.explainEnd(),
      ...this.explainWait(),
      ...this.explainStalls(),
      ...this.explainAdvice(),
      ...this.explainRuns(),
      ...this.explainOwners(),
    ];
    const omitted = this.lines.filter(line => line.event === 'lines-omitted').length;
    if (omitted > 0) findings.push(`In ${omitted} seconds a process left out lines; see omitted.`);
    return findings;
  }

  private concerns(line: LogLine): boolean {
    const task = getText(line, 'task');
    if (task !== undefined) return task === this.id || task.startsWith(`${this.id}.`);
    return getText(line, 'submission') === this.id;
  }

  private get(...events: readonly string[]): LogLine[] {
    return this.ownLines.filter(line => events.includes(line.event));
  }

  private explainAnswers(): string[] {
    const findings: string[] = [];
    const acknowledged = this.get('submission-acknowledged');
    const refused = this.get('submission-refused');
    const lastRefusal = refused.at(-1);
    if (lastRefusal !== undefined) {
      const reasons = countBy(refused, line => getText(line, 'reason') ?? 'no reason');
      const wait = getNumber(lastRefusal, 'waitMs');
      const age = getNumber(lastRefusal, 'ageMs');
      const expected = wait === undefined ? '' : `, last with an expected wait of ${wait} ms`;
      const known = age === undefined ? '' : `, from backlogs ${age} ms old`;
      findings.push(`Refused ${refused.length} times: ${reasons}${expected}${known}.`);
      if (acknowledged.length === 0) findings.push('It was never accepted.');
    }
    const unresolved = this.get('call-unresolved', 'submission-unresolved');
    if (unresolved.length > 0) {
      const calls = unresolved.length === 1 ? 'One call' : `${unresolved.length} calls`;
      findings.push(`${calls} ended with 504: the store or another entry did not answer in time.`);
    }
    return findings;
  }

  private explainEnd(): string[] {
    const end = this.get('submission-ended').at(-1);
    const accepted = this.get('submission-accepted', 'submission-acknowledged')[0];
    if (end !== undefined) {
      const reason = getText(end, 'reason') ?? 'ended';
      const age = getNumber(end, 'ageMs');
      const findings = [
        age === undefined ? `It ended as ${reason}.` : `It ended as ${reason} after ${age} ms.`,
      ];
      const cause = describeCause(end);
      if (cause !== undefined) findings.push(cause);
      const lastRun = this.get('run-ended').at(-1);
      if (reason === 'completed' && lastRun !== undefined) {
        const storedMs = Math.round(end.stamp - lastRun.stamp);
        findings.push(`Storing the end took ${storedMs} ms after the last run had ended.`);
      }
      return findings;
    }
    if (accepted === undefined || this.get('submission-cancelled').length > 0) return [];
    return ['It was accepted, and no log tells its end.'];
  }

  private explainWait(): string[] {
    const accepted = this.get('submission-accepted', 'submission-acknowledged')[0];
    const placed = this.get('run-placed')[0];
    if (accepted === undefined) return [];
    if (placed === undefined) return ['No run of it was placed.'];
    return [`The first run was placed ${Math.round(placed.stamp - accepted.stamp)} ms later.`];
  }

  private explainStalls(): string[] {
    const waiting = this.get('task-waiting');
    const last = waiting.at(-1);
    if (last === undefined) return [];
    const reasons = countBy(waiting, line => getText(line, 'reason') ?? '?');
    const longestMs = Math.max(...waiting.map(line => getNumber(line, 'waitMs') ?? 0));
    const findings = [`Nothing of it ran for up to ${longestMs} ms: ${reasons}.`];
    const refusals = getText(last, 'refusals');
    if (refusals) {
      const counts = refusals.replaceAll(' ', ', ').replaceAll(':', ' ');
      findings.push(`Workers that would not take it, of ${getNumber(last, 'workers')}: ${counts}.`);
    }
    return findings;
  }

  private explainAdvice(): string[] {
    const received = this.get('advice-received');
    const unavailable = this.get('advice-unavailable');
    const findings: string[] = [];
    const last = received.at(-1);
    if (last !== undefined) {
      const waitMs = received.reduce((sum, line) => sum + (getNumber(line, 'ageMs') ?? 0), 0);
      const allowed = `${getNumber(last, 'allowed')} of ${getNumber(last, 'workers')} workers`;
      findings.push(
        `Its advisor was asked ${received.length} times, ${waitMs} ms in all, and last allowed ${allowed}.`,
      );
    }
    if (unavailable.length > 0) {
      const reasons = countBy(unavailable, line => getText(line, 'reason') ?? '?');
      findings.push(`Its advisor gave no answer: ${reasons}.`);
    }
    return findings;
  }

  private explainRuns(): string[] {
    const findings: string[] = [];
    const lost = this.get('run-ended', 'run-lost').filter(
      line => line.event === 'run-lost' || getText(line, 'reason') !== 'done',
    );
    if (lost.length > 0) {
      const reasons = countBy(
        lost,
        line => `${line.event === 'run-lost' ? 'lost, ' : ''}${getText(line, 'reason') ?? '?'}`,
      );
      findings.push(`Runs that did not end as done: ${reasons}.`);
    }
    for (const [event, text] of [
      ['run-stopped', 'Runs were stopped'],
      ['run-refused', 'Workers refused runs'],
      ['run-paced', 'Runs were slowed down'],
    ] as const) {
      const lines = this.get(event);
      if (lines.length > 0) {
        findings.push(`${text}: ${countBy(lines, line => getText(line, 'reason') ?? '?')}.`);
      }
    }
    return findings;
  }

  private explainOwners(): string[] {
    const begun = this.lines.filter(line => line.event === 'ownership-begun');
    const names = begun.map(line => line.process).join(', ');
    return begun.length === 0 ? [] : [`The owner changed meanwhile, to ${names}.`];
  }
}

/** Returns a sentence about what decided the end of a submission; undefined when its line does not say. */
function describeCause(end: LogLine): string | undefined {
  const task = getText(end, 'task') ?? '?';
  switch (getText(end, 'cause')) {
    case 'attempts': {
      const attempts = `${getNumber(end, 'maxAttempts')} attempts`;
      return `Task ${task} decided that: ${getNumber(end, 'failedRuns')} of its runs failed, of ${attempts}.`;
    }
    case 'crashes':
      return `Task ${task} decided that: ${getNumber(end, 'crashes')} workers crashed under it.`;
    case 'cancel':
      return 'A caller cancelled it.';
    default:
      return undefined;
  }
}

/** Returns how often each text occurs, the most frequent first. */
function countBy(lines: readonly LogLine[], getName: (line: LogLine) => string): string {
  const counts = new Map<string, number>();
  for (const line of lines) counts.set(getName(line), (counts.get(getName(line)) ?? 0) + 1);
  return [...counts]
    .sort((a, b) => b[1] - a[1])
    .map(([name, count]) => `${count} ${name}`)
    .join(', ');
}
