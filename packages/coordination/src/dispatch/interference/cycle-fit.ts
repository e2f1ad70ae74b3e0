/** Prior mean and standard deviation of the load's level, and prior standard deviation of its sine and cosine terms. */
const priorLoad = 0.4;
const priorLevelDeviation = 0.25;
const priorAmplitudeDeviation = 0.2;
/** Standard deviation added in quadrature to every measurement, because loads are not exact sine waves. */
const modelErrorDeviation = 0.03;
/** Half-life in milliseconds of the weight of a measurement. */
const halfLifeMs = 60_000;

/**
 * Fits a constant level and a sine wave of one period to measurements, by Bayesian linear regression with
 * exponential forgetting. It keeps only running sums, so adding a measurement takes constant time.
 */
export class CycleFit {
  private readonly frequency: number;
  /** Weighted sums of the products of 1, cosine and sine. */
  private weightSum = 0;
  private cosineSum = 0;
  private sineSum = 0;
  private cosineCosineSum = 0;
  private cosineSineSum = 0;
  private sineSineSum = 0;
  /** Weighted sums of the load times 1, cosine, sine and load. */
  private loadSum = 0;
  private loadCosineSum = 0;
  private loadSineSum = 0;
  private loadLoadSum = 0;
  private updatedAt = 0;
  private solution: Solution | undefined;

  /** Creates a fit for a period in milliseconds. */
  constructor(periodMs: number) {
    this.frequency = (2 * Math.PI) / periodMs;
  }

  /** Adds a load measured at `at` with its standard deviation. */
  add(load: number, deviation: number, at: number): void {
    this.decay(at);
    const weight = 1 / (deviation ** 2 + modelErrorDeviation ** 2);
    const cos = Math.cos(this.frequency * at);
    const sin = Math.sin(this.frequency * at);
    const value = load - priorLoad;
    this.weightSum += weight;
    this.cosineSum += weight * cos;
    this.sineSum += weight * sin;
    this.cosineCosineSum += weight * cos * cos;
    this.cosineSineSum += weight * cos * sin;
    this.sineSineSum += weight * sin * sin;
    this.loadSum += weight * value;
    this.loadCosineSum += weight * value * cos;
    this.loadSineSum += weight * value * sin;
    this.loadLoadSum += weight * value * value;
    this.solution = undefined;
  }

  /** Returns the fitted load at a time in milliseconds. */
  getValue(at: number): number {
    const {level, cosine, sine} = this.solve();
    const angle = this.frequency * at;
    return priorLoad + level + cosine * Math.cos(angle) + sine * Math.sin(angle);
  }

  /** Returns the variance of the fitted load at a time in milliseconds. */
  getVariance(at: number): number {
    const {covariance} = this.solve();
    const angle = this.frequency * at;
    const cos = Math.cos(angle);
    const sin = Math.sin(angle);
    // The covariance is the symmetric matrix [[a, b, c], [b, d, e], [c, e, f]].
    const [a, b, c, d, e, f] = covariance;
    return a + 2 * b * cos + 2 * c * sin + d * cos * cos + 2 * e * cos * sin + f * sin * sin;
  }

  /** Returns the log marginal likelihood of all measurements, up to a constant that does not depend on the period. */
  getLogEvidence(): number {
    return this.solve().logEvidence;
  }

  /** Returns the running sums with all times relative to `at`, so that a process with another clock can continue with them. */
  getSums(at: number): CycleSums {
    this.decay(at);
    const sums: CycleSums = [
      this.weightSum,
      this.cosineSum,
      this.sineSum,
      this.cosineCosineSum,
      this.cosineSineSum,
      this.sineSineSum,
      this.loadSum,
      this.loadCosineSum,
      this.loadSineSum,
      this.loadLoadSum,
    ];
    return shiftSums(sums, -at * this.frequency);
  }

  /** Continues with the sums of another fit of the same period, whose times are relative to `at`. */
  restore(sums: CycleSums, at: number): void {
    [
      this.weightSum,
      this.cosineSum,
      this.sineSum,
      this.cosineCosineSum,
      this.cosineSineSum,
      this.sineSineSum,
      this.loadSum,
      this.loadCosineSum,
      this.loadSineSum,
      this.loadLoadSum,
    ] = shiftSums(sums, at * this.frequency);
    this.updatedAt = at;
    this.solution = undefined;
  }

  private decay(at: number): void {
    const retention = 0.5 ** (Math.max(0, at - this.updatedAt) / halfLifeMs);
    this.updatedAt = Math.max(at, this.updatedAt);
    if (retention === 1) return;
    this.weightSum *= retention;
    this.cosineSum *= retention;
    this.sineSum *= retention;
    this.cosineCosineSum *= retention;
    this.cosineSineSum *= retention;
    this.sineSineSum *= retention;
    this.loadSum *= retention;
    this.loadCosineSum *= retention;
    this.loadSineSum *= retention;
    this.loadLoadSum *= retention;
  }

  /** Solves the normal equations of the regression; the priors are added as if they were measurements. */
  private solve(): Solution {
    if (this.solution !== undefined) return this.solution;
    const amplitudePrecision = 1 / priorAmplitudeDeviation ** 2;
    const levelPrecision = 1 / priorLevelDeviation ** 2;
    const a = this.weightSum + levelPrecision;
    const b = this.cosineSum;
    const c = this.sineSum;
    const d = this.cosineCosineSum + amplitudePrecision;
    const e = this.cosineSineSum;
    const f = this.sineSineSum + amplitudePrecision;
    // Cofactors of the symmetric matrix [[a, b, c], [b, d, e], [c, e, f]].
    const cofactorA = d * f - e * e;
    const cofactorB = c * e - b * f;
    const cofactorC = b * e - c * d;
    const determinant = a * cofactorA + b * cofactorB + c * cofactorC;
    const covariance: Solution['covariance'] = [
      cofactorA / determinant,
      cofactorB / determinant,
      cofactorC / determinant,
      (a * f - c * c) / determinant,
      (b * c - a * e) / determinant,
      (a * d - b * b) / determinant,
    ];
    // The covariance is the symmetric matrix [[ia, ib, ic], [ib, id, ie], [ic, ie, jf]] (`if` is a keyword).
    const [ia, ib, ic, id, ie, jf] = covariance;
    const {loadSum, loadCosineSum, loadSineSum} = this;
    const level = ia * loadSum + ib * loadCosineSum + ic * loadSineSum;
    const cosine = ib * loadSum + id * loadCosineSum + ie * loadSineSum;
    const sine = ic * loadSum + ie * loadCosineSum + jf * loadSineSum;
    const explained = level * loadSum + cosine * loadCosineSum + sine * loadSineSum;
    const priorDeterminant = levelPrecision * amplitudePrecision ** 2;
    const logEvidence =
      (explained - this.loadLoadSum + Math.log(priorDeterminant / determinant)) / 2;
    this.solution = {level, cosine, sine, covariance, logEvidence};
    return this.solution;
  }
}

/** Number of running sums of a fit. */
export const cycleSumCount = 10;

/** Running sums of a fit, in the order of its fields. */
export type CycleSums = readonly [
  weight: number,
  cosine: number,
  sine: number,
  cosineCosine: number,
  cosineSine: number,
  sineSine: number,
  load: number,
  loadCosine: number,
  loadSine: number,
  loadLoad: number,
];

/** Returns the sums as if all measurements had been made later by an angle in radians. */
function shiftSums(sums: CycleSums, angle: number): CycleSums {
  const [weight, cosine, sine, cc, cs, ss, load, loadCosine, loadSine, loadLoad] = sums;
  const cos = Math.cos(angle);
  const sin = Math.sin(angle);
  return [
    weight,
    cosine * cos - sine * sin,
    sine * cos + cosine * sin,
    cc * cos * cos - 2 * cs * cos * sin + ss * sin * sin,
    cs * (cos * cos - sin * sin) + (cc - ss) * cos * sin,
    cc * sin * sin + 2 * cs * cos * sin + ss * cos * cos,
    load,
    loadCosine * cos - loadSine * sin,
    loadSine * cos + loadCosine * sin,
    loadLoad,
  ];
}

interface Solution {
  readonly level: number;
  readonly cosine: number;
  readonly sine: number;
  /** Upper triangle of the covariance of level, cosine and sine, by rows. */
  readonly covariance: readonly [number, number, number, number, number, number];
  readonly logEvidence: number;
}
