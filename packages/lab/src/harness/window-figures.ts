import type {Sample} from './caller-load.js';

/** Figures over the requests that started in a time window. */
export interface WindowFigures {
  readonly offered: number;
  readonly answered: number;
  /** Answered part of the offered requests. */
  readonly goodput: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Computes the figures of a window; latencies are those of answered requests. */
export function getWindowFigures(
  samples: readonly Sample[],
  fromMs: number,
  toMs: number,
): WindowFigures {
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

/** Quantile of sorted values; 0 when there are none. */
export function getQuantile(sorted: readonly number[], quantile: number): number {
  if (sorted.length === 0) return 0;
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))]!;
}
