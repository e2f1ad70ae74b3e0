import type {CellSchedulerEffect, FindingReason} from '../events.js';

/** Time after which a finding that still holds is reported again. */
const repeatIntervalMs = 60_000;

/** Reports each finding when it appears and then once a minute while it holds. */
export class Findings {
  private readonly reported = new Map<string, number>();

  /** Adds the finding to the effects unless it was reported a short time ago. */
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

  /** Forgets what was reported. */
  clear(): void {
    this.reported.clear();
  }
}
