import type {CellSchedulerEffect, FindingReason} from '../events.js';

/** Time after which a finding that still applies is reported again. */
const repeatIntervalMs = 60_000;

/** Limits repeated findings: each is reported when it first occurs and then at most once a minute. */
export class FindingReporter {
  private readonly reported = new Map<string, number>();

  /** Adds the finding to the effects unless the same reason was reported for the workload within the last minute. */
  add(
    finding: {readonly workload: string; readonly reason: FindingReason; readonly detail: string},
    at: number,
    effects: CellSchedulerEffect[],
  ): void {
    const key = `${finding.reason} ${finding.workload}`;
    const last = this.reported.get(key);
    if (last !== undefined && at - last < repeatIntervalMs) return;
    this.reported.set(key, at);
    const {workload, reason, detail} = finding;
    effects.push({kind: 'finding', workload, reason, detail});
  }

  /** Clears the record of reported findings. */
  clear(): void {
    this.reported.clear();
  }
}
