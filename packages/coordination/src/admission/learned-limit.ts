/** Options of a `LearnedLimit`. */
export interface LearnedLimitOptions {
  readonly initial: number;
  readonly minimum: number;
  readonly maximum: number;
  /** Ratio of short-term to long-term latency that is still taken as undisturbed. */
  readonly tolerance: number;
  /** Samples in one short-term window. */
  readonly windowSamples: number;
}

/** Limit at which every sample counts as light load, so that a lasting slowdown is learned in the end. */
const maxAlwaysLightLimit = 2;

const defaults: LearnedLimitOptions = {
  initial: 8,
  minimum: 1,
  maximum: 1024,
  tolerance: 2,
  windowSamples: 16,
};

/**
 * Concurrency limit learned from the gradient between the long-term and the short-term minimum of the latency.
 * Latencies are compared within one service, because a change in the mix of short and long requests is no sign
 * of load.
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

  /** Present limit of concurrent requests. */
  getLimit(): number {
    return Math.max(this.options.minimum, Math.floor(this.limit));
  }

  /** Adds the latency of a finished request and the number in flight when it was sent. */
  addSample(service: string, latencyMs: number, inFlight: number): void {
    const latency = Math.max(latencyMs, 0.1);
    const baselineMs = this.baselinesMs.get(service) ?? latency;
    // A lower minimum is taken over at once. A higher one is learned slowly and only from light load; otherwise the
    // limit's own queueing would pass for the usual latency and the limit would grow without end.
    const isLightLoad = inFlight * 2 < this.limit || this.limit <= maxAlwaysLightLimit;
    const riseRate = isLightLoad ? 0.001 : 0;
    const newBaselineMs =
      latency < baselineMs ? latency : baselineMs + (latency - baselineMs) * riseRate;
    this.baselinesMs.set(service, newBaselineMs);
    this.minLatencyRatio = Math.min(this.minLatencyRatio, latency / newBaselineMs);
    if (inFlight * 2 >= this.limit) this.wasLimitReached = true;
    if (++this.sampleCount >= this.options.windowSamples) this.update();
  }

  /** Lowers the limit after the target refused or dropped a request. */
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
