import type {ExchangeFailed, ExchangeFinished, OpenExchange} from '@chervilbeam/coordination';
import {SeededRandom} from '@chervilbeam/coordination';
import type {VirtualLoop} from './virtual-loop.js';

/** How a backend server behaves. */
export type BackendMode = 'normal' | 'hang' | 'refuse' | 'cut';

/** Options of a `ModelBackend`. */
export interface BackendOptions {
  readonly services: readonly string[];
  readonly slots: number;
  readonly connections: number;
  /** Exchanges that run at full speed at once; more share the processors. */
  readonly processors: number;
  /** Mean time of an exchange of a service in milliseconds. */
  readonly serviceMs: Readonly<Record<string, number>>;
  /** Deviation of the logarithm of the time. */
  readonly deviation: number;
  readonly answerBytes: number;
}

/** Backend server with processors that its exchanges share. */
export class ModelBackend {
  /** Present behaviour; may be changed at any time. */
  mode: BackendMode = 'normal';
  /** Factor on all times. */
  slowness = 1;
  draining = false;
  isAnnouncing = true;
  /** Slot time spent so far, in milliseconds. */
  busyMs = 0;
  /** Number of exchanges begun, by path. */
  readonly runs = new Map<string, number>();
  shouldCountRuns = false;
  private running = 0;
  private readonly random: SeededRandom;
  private readonly body: Uint8Array;

  constructor(
    private readonly loop: VirtualLoop,
    readonly url: string,
    readonly options: BackendOptions,
    seed: number,
    private readonly report: (event: ExchangeFinished | ExchangeFailed) => void,
  ) {
    this.random = new SeededRandom(seed);
    this.body = new Uint8Array(options.answerBytes);
  }

  /** Exchanges in progress. */
  getRunning(): number {
    return this.running;
  }

  /** Starts an exchange. */
  open(effect: OpenExchange): void {
    const {exchange, timeoutMs} = effect;
    if (this.mode === 'refuse') {
      this.loop.after(0.2, () =>
        this.report({kind: 'exchange-failed', exchange, begun: false, detail: 'refused'}),
      );
      return;
    }
    if (this.shouldCountRuns) this.runs.set(effect.path, (this.runs.get(effect.path) ?? 0) + 1);
    this.running += 1;
    const contention = Math.max(1, this.running / this.options.processors);
    const mean = this.options.serviceMs[effect.service] ?? 10;
    const durationMs = mean * this.getNoise() * contention * this.slowness;
    if (this.mode === 'hang') return this.fail(exchange, timeoutMs, 'timeout');
    if (this.mode === 'cut') return this.fail(exchange, durationMs / 2, 'connection cut');
    if (durationMs > timeoutMs) return this.fail(exchange, timeoutMs, 'timeout');
    this.loop.after(durationMs, () => {
      this.running -= 1;
      this.busyMs += durationMs;
      const {body} = this;
      this.report({kind: 'exchange-finished', exchange, status: 200, headers: [], body});
    });
  }

  private fail(exchange: number, afterMs: number, detail: string): void {
    this.loop.after(afterMs, () => {
      this.running -= 1;
      this.busyMs += afterMs;
      this.report({kind: 'exchange-failed', exchange, begun: true, detail});
    });
  }

  /** Log-normal factor with mean 1. */
  private getNoise(): number {
    const {deviation} = this.options;
    const radiusSample = Math.max(1e-12, this.random.next());
    const angleSample = this.random.next();
    const normal = Math.sqrt(-2 * Math.log(radiusSample)) * Math.cos(2 * Math.PI * angleSample);
    return Math.exp(deviation * normal - (deviation * deviation) / 2);
  }
}
