import {Pool} from 'undici';

/** Throughput and latency percentiles of one load run. */
export interface LoadResult {
  /** Answers with status 200 per second. */
  readonly throughput: number;
  /** Number of answers with status 200. */
  readonly answered: number;
  /** Number of other answers and lost connections. */
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Sends the same GET request repeatedly to one server over a fixed number of connections. */
export class LoadGenerator {
  private readonly pool: Pool;
  private latenciesMs: number[] = [];
  private failed = 0;

  /** Creates the pool of connections to `origin`. */
  constructor(
    origin: string,
    private readonly path: string,
    private readonly connections: number,
  ) {
    this.pool = new Pool(origin, {connections, pipelining: 1});
  }

  /** Closed loop: each connection sends its next request as soon as it has the answer to the last one. */
  async runClosedLoop(durationMs: number): Promise<LoadResult> {
    this.reset();
    const startedAt = performance.now();
    const end = startedAt + durationMs;
    const connectionLoops = Array.from({length: this.connections}, async () => {
      while (performance.now() < end) await this.call(performance.now());
    });
    await Promise.all(connectionLoops);
    return this.summarize(performance.now() - startedAt);
  }

  /**
   * Open loop: sends at a fixed rate, whether or not earlier requests are answered. Latency is measured from
   * the scheduled send time, so that a stall also counts for the requests that it delays.
   */
  async runOpenLoop(durationMs: number, ratePerSecond: number): Promise<LoadResult> {
    this.reset();
    const startedAt = performance.now();
    const total = Math.floor((durationMs / 1000) * ratePerSecond);
    const pendingCalls: Array<Promise<void>> = [];
    for (let sentCount = 0; sentCount < total;) {
      const dueCount = Math.min(total, ((performance.now() - startedAt) / 1000) * ratePerSecond);
      while (sentCount < dueCount)
        pendingCalls.push(this.call(startedAt + (sentCount++ / ratePerSecond) * 1000));
      await new Promise(resolve => setImmediate(resolve));
    }
    await Promise.all(pendingCalls);
    return this.summarize(performance.now() - startedAt);
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.pool.destroy();
  }

  private reset(): void {
    this.latenciesMs = [];
    this.failed = 0;
  }

  /** Sends one request; its latency is measured from the time `from`, in milliseconds. */
  private async call(from: number): Promise<void> {
    try {
      const {statusCode, body} = await this.pool.request({method: 'GET', path: this.path});
      await body.text();
      if (statusCode === 200) this.latenciesMs.push(performance.now() - from);
      else this.failed += 1;
    } catch {
      this.failed += 1;
    }
  }

  private summarize(elapsedMs: number): LoadResult {
    const sorted = Float64Array.from(this.latenciesMs).sort();
    const getQuantile = (quantile: number) =>
      sorted[Math.floor(quantile * (sorted.length - 1))] ?? 0;
    return {
      throughput: (sorted.length / elapsedMs) * 1000,
      answered: sorted.length,
      failed: this.failed,
      p50Ms: getQuantile(0.5),
      p99Ms: getQuantile(0.99),
      p999Ms: getQuantile(0.999),
    };
  }
}
