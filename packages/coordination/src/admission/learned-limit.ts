/** Options of a `LearnedLimit`; limits are in concurrent requests. */
export interface LearnedLimitOptions {
  readonly initial: number;
  readonly minimum: number;
  readonly maximum: number;
  /** Ratio of short-term to long-term latency up to which the limit is not reduced. */
  readonly tolerance: number;
  /** Samples in one short-term window. */
  readonly windowSamples: number;
}

/** Up to this limit every sample counts as light load, so that a lasting slowdown eventually raises the baseline. */
const maxAlwaysLightLimit = 2;

const defaults: LearnedLimitOptions = {
  initial: 8,
  minimum: 1,
  maximum: 1024,
  tolerance: 2,
  windowSamples: 16,
};

/**
 * Adaptive concurrency limit, computed from the gradient between the long-term baseline and the short-term minimum
 * of the latency. Latencies are compared per service, because a change in the mix of short and long requests does
 * not indicate load.
 */
export class LearnedLimit {
  private readonly options: LearnedLimitOptions;
  private readonly baselinesMs = new Map<string, number>();
  private limit: number;
  private minLatencyRatio = Infinity;
  private sampleCount = 0;
  private wasLimitReached = false;

  constructor(options: Partial<LearnedLimitOptions> = {}) {
    this.options = {...defaults, ...options};
    this.limit = this.options.initial;
  }

  /** Current limit of concurrent requests. */
  getLimit(): number {
    return Math.max(this.options.minimum, Math.floor(this.limit));
  }

  /** Adds the latency of a finished request in milliseconds and the number in flight when it was sent. */
  addSample(service: string, latencyMs: number, inFlight: number): void {
    const latency = Math.max(latencyMs, 0.1);
    const baselineMs = this.baselinesMs.get(service) ?? latency;
    // A lower latency replaces the baseline at once. A higher one raises it slowly and only under light load;
    // otherwise queueing caused by the limit itself would raise the baseline and the limit would grow without bound.
    const isLightLoad = inFlight * 2 < this.limit || this.limit <= maxAlwaysLightLimit;
    const riseRate = isLightLoad ? 0.001 : 0;
    const newBaselineMs =
      latency < baselineMs ? latency : baselineMs + (latency - baselineMs) * riseRate;
    this.baselinesMs.set(service, newBaselineMs);
    this.minLatencyRatio = Math.min(this.minLatencyRatio, latency / newBaselineMs);
    if (inFlight * 2 >= this.limit) this.wasLimitReached = true;
    if (++this.sampleCount >= this.options.windowSamples) this.update();
  }

  /** Lowers the limit by 5% after the target refused or dropped a request. */
  addDrop(): void {
    this.limit = Math.max(this.options.minimum, this.limit * 0.95);
  }

  private update(): void {
    const gradient = Math.min(1, Math.max(0.5, this.options.tolerance / this.minLatencyRatio));
    const target = this.limit * gradient + (this.wasLimitReached ? Math.sqrt(this.limit) : 0);
    this.sampleCount = 0;
    this.minLatencyRatio = Infinity;
    this.wasLimitReached = false;
    const next = this.limit * 0.8 + target * 0.2;
    this.limit = Math.min(this.options.maximum, Math.max(this.options.minimum, next));
  }
}
