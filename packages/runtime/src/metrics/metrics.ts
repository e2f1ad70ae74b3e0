import {build, type Histogram} from 'hdr-histogram-js';

/** Highest recorded duration; the longest deadline is 60 s. */
const highestMicroseconds = 120_000_000;

/** Quantiles of one histogram in microseconds. */
export interface HistogramSnapshot {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Resources that a process has used. */
export interface ProcessUsage {
  /** Processor time since the start in milliseconds. */
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

  /** Adds to a counter. */
  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Records a duration. */
  observe(name: string, valueMs: number): void {
    let histogram = this.histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: highestMicroseconds,
        numberOfSignificantValueDigits: 2,
        useWebAssembly: false,
      });
      this.histograms.set(name, histogram);
    }
    histogram.recordValue(Math.min(highestMicroseconds, Math.max(0, Math.round(valueMs * 1000))));
  }

  /** Returns the value of a counter. */
  getCount(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  /** Returns all counters and the quantiles of all histograms. */
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
    return {process: getUsage(), counters: Object.fromEntries(this.counters), histograms};
  }
}

function getUsage(): ProcessUsage {
  const {user, system} = process.cpuUsage();
  return {processorMs: (user + system) / 1000, residentBytes: process.memoryUsage.rss()};
}
