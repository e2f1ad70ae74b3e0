import type {MetricResult} from './experiment.js';

/** Formats a number with about three significant digits, in thousands (k) or millions (M) where it is large. */
export function formatNumber(value: number): string {
  const size = Math.abs(value);
  if (size >= 1e6) return `${(value / 1e6).toPrecision(3)} M`;
  if (size >= 1e4) return `${(value / 1e3).toPrecision(3)} k`;
  if (size >= 100) return value.toFixed(0);
  return value === 0 ? '0' : value.toPrecision(3);
}

/** Formats the results of one experiment as text, one line for each metric. */
export function formatResults(results: readonly MetricResult[]): string {
  const first = results[0];
  if (!first) return '';
  const sizes = [...new Set(first.samples.map(sample => sample.size))].join(', ');
  const lines = [`== ${first.experiment} (${first.role}); ${first.driver}: ${sizes}`];
  for (const {metric, unit, slope, today, inTwoYears, samples} of results) {
    const largestSize = Math.max(...samples.map(sample => sample.size));
    const samplesAtLargest = samples.filter(sample => sample.size === largestSize);
    const mean =
      samplesAtLargest.reduce((sum, sample) => sum + sample.value, 0) / samplesAtLargest.length;
    lines.push(
      `  ${metric.padEnd(24)} ${slope.shape.padEnd(11)} ${formatNumber(slope.perUnit)} ${unit} each` +
        `, fit ${slope.fit.toFixed(3)}, exponent ${slope.exponent.toFixed(2)}` +
        `, spread ${(slope.spread * 100).toFixed(0)}%; today ${formatNumber(today)}` +
        `, two years ${formatNumber(inTwoYears)}, largest ${formatNumber(mean)} ${unit}`,
    );
  }
  return lines.join('\n');
}
