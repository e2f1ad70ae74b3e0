import {
  type Clock,
  HybridClock,
  type PlainRecord,
  TimelineBuffer,
  type TimelineEvent,
  type TimelineFilter,
  type TimelineRecord,
} from '@chervilbeam/coordination';
import {Metrics} from '../metrics/index.js';
import type {StampClock} from '../peers/index.js';

/** Metrics, timeline and hybrid logical clock of one process. */
export class ProcessMonitor implements StampClock {
  /** Counters and histograms. */
  readonly metrics = new Metrics();
  private readonly timeline: TimelineBuffer;
  private readonly hybridClock = new HybridClock();

  /** Creates the monitor of the process with the given name. */
  constructor(
    name: string,
    private readonly clock: Clock,
  ) {
    this.timeline = new TimelineBuffer(name);
  }

  /** Advances the hybrid clock and returns the stamp for a timeline event or a write to another process. */
  next(): number {
    return this.hybridClock.next(this.clock.wallTime());
  }

  /** Merges a stamp received from another process into the hybrid clock. */
  receive(stamp: number): void {
    this.hybridClock.receive(stamp, this.clock.wallTime());
  }

  /** Executes an effect that updates a metric or the timeline. */
  executeEffect(
    effect:
      | {readonly kind: 'count'; readonly name: string; readonly by: number}
      | {readonly kind: 'observe'; readonly name: string; readonly valueMs: number}
      | {readonly kind: 'record'; readonly event: TimelineRecord | PlainRecord},
  ): void {
    switch (effect.kind) {
      case 'count':
        return this.metrics.count(effect.name, effect.by);
      case 'observe':
        return this.metrics.observe(effect.name, effect.valueMs);
      case 'record':
        return this.timeline.record(effect.event, this.next());
    }
  }

  /** Returns the events of the timeline that match the filter. */
  getTimeline(filter: TimelineFilter): readonly TimelineEvent[] {
    return this.timeline.select(filter);
  }
}
