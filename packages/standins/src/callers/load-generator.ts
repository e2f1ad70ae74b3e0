import {Pool} from 'undici';

/** Latencies of one load in milliseconds. */
export interface LoadResult {
  /** Answers with status 200 a second. */
  readonly throughput: number;
  readonly answered: number;
  /** Other answers and lost connections. */
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

/** Callers that send the same request over and over to one server. */
export class LoadGenerator {
  private readonly pool: Pool;
  private latencies: number[] = [];
  private failed = 0;

  /** Creates callers with a number of connections to `origin`. */
  constructor(
    origin: string,
    private readonly path: string,
    private readonly connections: number,
  ) {
    this.pool = new Pool(origin, {connections, pipelining: 1});
  }

  /** Keeps every connection busy for the given time. */
  async runClosed(durationMs: number): Promise<LoadResult> {
    this.reset();
    const begin = performance.now();
    const end = begin + durationMs;
    const loops = Array.from({length: this.connections}, async () => {
      while (performance.now() < end) await this.call(performance.now());
    });
    await Promise.all(loops);
    return this.summarize(performance.now() - begin);
  }

  /** Sends at a fixed rate. Latency counts from the due time, so that a stall is not hidden. */
  async runOpen(durationMs: number, perSecond: number): Promise<LoadResult> {
    this.reset();
    const begin = performance.now();
    const total = Math.floor((durationMs / 1000) * perSecond);
    const open: Array<Promise<void>> = [];
    for (let sent = 0; sent < total;) {
      const due = Math.min(total, ((performance.now() - begin) / 1000) * perSecond);
      while (sent < due) open.push(this.call(begin + (sent++ / perSecond) * 1000));
      await new Promise(resolve => setImmediate(resolve));
    }
    await Promise.all(open);
    return this.summarize(performance.now() - begin);
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.pool.destroy();
  }

  private reset(): void {
    this.latencies = [];
    this.failed = 0;
  }

  private async call(from: number): Promise<void> {
    try {
      const {statusCode, body} = await this.pool.request({method: 'GET', path: this.path});
      await body.text();
      if (statusCode === 200) this.latencies.push(performance.now() - from);
      else this.failed += 1;
    } catch {
      this.failed += 1;
    }
  }

  private summarize(elapsedMs: number): LoadResult {
    const sorted = Float64Array.from(this.latencies).sort();
    const getQuantile = (q: number) => sorted[Math.floor(q * (sorted.length - 1))] ?? 0;
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
