/** Value of a metric, measured at one size with one seed. */
export interface Sample {
  readonly size: number;
  readonly value: number;
  readonly seed: number;
}

/** Line fitted to samples, with measures of how well it describes them. */
export interface Slope {
  readonly intercept: number;
  /** Growth of the value per unit of size. */
  readonly perUnit: number;
  /** Coefficient of determination (R²): fraction of the variance that the line explains, 0 to 1. */
  readonly fit: number;
  /** Exponent of the growth between the two largest sizes; 0 is constant, 1 is linear. */
  readonly exponent: number;
  /** Half the range of the values at the largest size, relative to their mean. */
  readonly spread: number;
  readonly shape: 'constant' | 'linear' | 'sublinear' | 'superlinear';
}

/** Smallest number of different sizes from which a slope may be computed. */
export const minDistinctSizes = 4;

/** Largest deviation of the growth exponent from 0 or 1 that still counts as constant or linear. */
const exponentTolerance = 0.25;

/** Fits a line by least squares. Throws a `RangeError` for samples at fewer than four sizes. */
export function fitSlope(samples: readonly Sample[]): Slope {
  const sizes = [...new Set(samples.map(sample => sample.size))].sort((a, b) => a - b);
  if (sizes.length < minDistinctSizes) {
    throw new RangeError(
      `A slope needs samples at ${minDistinctSizes} different sizes or more, got ${sizes.length}`,
    );
  }
  const meanSize = getMean(samples.map(sample => sample.size));
  const meanValue = getMean(samples.map(sample => sample.value));
  let covariance = 0;
  let sizeVariance = 0;
  let valueVariance = 0;
  for (const {size, value} of samples) {
    covariance += (size - meanSize) * (value - meanValue);
    sizeVariance += (size - meanSize) ** 2;
    valueVariance += (value - meanValue) ** 2;
  }
  const perUnit = covariance / sizeVariance;
  const intercept = meanValue - perUnit * meanSize;
  let residual = 0;
  for (const {size, value} of samples) residual += (value - intercept - perUnit * size) ** 2;
  const largestValues = samples
    .filter(sample => sample.size === sizes.at(-1))
    .map(sample => sample.value);
  const former = samples.filter(sample => sample.size === sizes.at(-2)).map(s => s.value);
  const largestMean = getMean(largestValues);
  const exponent = getExponent(sizes.at(-2)!, getMean(former), sizes.at(-1)!, largestMean);
  return {
    intercept,
    perUnit,
    fit: valueVariance === 0 ? 1 : 1 - residual / valueVariance,
    exponent,
    spread:
      largestMean === 0
        ? 0
        : (Math.max(...largestValues) - Math.min(...largestValues)) / 2 / Math.abs(largestMean),
    shape: getShape(exponent),
  };
}

/** Returns the median: the middle value, or the mean of the two middle values; NaN if there are none. */
export function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  if (sorted.length === 0) return NaN;
  return sorted.length % 2 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function getExponent(size: number, value: number, largerSize: number, largerValue: number): number {
  if (value <= 0 || largerValue <= 0) return value === largerValue ? 0 : NaN;
  return Math.log(largerValue / value) / Math.log(largerSize / size);
}

function getShape(exponent: number): Slope['shape'] {
  if (Math.abs(exponent) <= exponentTolerance) return 'constant';
  if (Math.abs(exponent - 1) <= exponentTolerance) return 'linear';
  return exponent > 1 ? 'superlinear' : 'sublinear';
}
