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

/** Metrics and timeline of one process. */
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

  /** Returns the stamp of a write to another process. */
  next(): number {
    return this.hybridClock.next(this.clock.wallTime());
  }

  /** Takes in the stamp of another process. */
  receive(stamp: number): void {
    this.hybridClock.receive(stamp, this.clock.wallTime());
  }

  /** Carries out an effect that only concerns what operators see. */
  take(
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

  /** Returns the wanted events of the timeline. */
  getTimeline(filter: TimelineFilter): readonly TimelineEvent[] {
    return this.timeline.select(filter);
  }
}
