import type {Sample} from './caller-load.js';

/** Goodput and latency percentiles of the requests that started in a time window. */
export interface WindowStatistics {
  readonly offered: number;
  readonly answered: number;
  /** Answered fraction of the offered requests; 1 if there were none. */
  readonly goodput: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/**
 * Computes goodput and latency percentiles of the requests that started at `fromMs` or later and before `toMs`. The
 * percentiles include answered requests only.
 */
export function getWindowStatistics(
  samples: readonly Sample[],
  fromMs: number,
  toMs: number,
): WindowStatistics {
  const inWindow = samples.filter(s => s.startedAt >= fromMs && s.startedAt < toMs);
  const latencies = inWindow.filter(s => s.outcome === 'answered').map(s => s.latencyMs);
  latencies.sort((a, b) => a - b);
  return {
    offered: inWindow.length,
    answered: latencies.length,
    goodput: inWindow.length === 0 ? 1 : latencies.length / inWindow.length,
    p50Ms: getQuantile(latencies, 0.5),
    p95Ms: getQuantile(latencies, 0.95),
    p99Ms: getQuantile(latencies, 0.99),
    p999Ms: getQuantile(latencies, 0.999),
  };
}

/** Returns a quantile (0 to 1) of values in ascending order, or 0 if there are none. */
export function getQuantile(sorted: readonly number[], quantile: number): number {
  if (sorted.length === 0) return 0;
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))]!;
}
