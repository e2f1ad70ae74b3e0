import {build, type Histogram} from 'hdr-histogram-js';

/** Upper bound of recorded durations, 120 s; the longest request deadline is 60 s. */
const maxDurationMicroseconds = 120_000_000;

/** Count, mean, percentiles and maximum of one histogram; durations are in microseconds. */
export interface HistogramSnapshot {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Resource usage of a process. */
export interface ProcessUsage {
  /** User and system processor time since the start in milliseconds. */
  readonly processorMs: number;
  readonly residentBytes: number;
}

/** All metrics of a process at one time. */
export interface MetricsSnapshot {
  readonly process: ProcessUsage;
  readonly counters: Readonly<Record<string, number>>;
  readonly histograms: Readonly<Record<string, HistogramSnapshot>>;
}

/** Counters and duration histograms of one process. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, Histogram>();

  /** Adds `by` to a counter. */
  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Records a duration in milliseconds; it is clamped to the range of the histogram. */
  observe(name: string, valueMs: number): void {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxDurationMicroseconds,
        numberOfSignificantValueDigits: 2,
        useWebAssembly: false,
      });
      this.histograms.set(name, histogram);
    }
    histogram.recordValue(
      Math.min(maxDurationMicroseconds, Math.max(0, Math.round(valueMs * 1000))),
    );
  }

  /** Returns the value of a counter; 0 when it was never incremented. */
  getCount(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** Returns the process usage, all counters and a summary of each histogram. */
  getSnapshot(): MetricsSnapshot {
    const histograms: Record<string, HistogramSnapshot> = {};
    for (const [name, histogram] of this.histograms) {
      histograms[name] = {
        count: histogram.totalCount,
        mean: histogram.mean,
        p50: histogram.getValueAtPercentile(50),
        p90: histogram.getValueAtPercentile(90),
        p99: histogram.getValueAtPercentile(99),
        p999: histogram.getValueAtPercentile(99.9),
        max: histogram.maxValue,
      };
    }
    return {process: getProcessUsage(), counters: Object.fromEntries(this.counters), histograms};
  }
}

function getProcessUsage(): ProcessUsage {
  const {user, system} = process.cpuUsage();
  return {processorMs: (user + system) / 1000, residentBytes: process.memoryUsage.rss()};
}
