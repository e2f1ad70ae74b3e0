import type {ExchangeFailed, ExchangeFinished, OpenExchange} from '@chervilbeam/coordination';
import {SeededRandom} from '@chervilbeam/coordination';
import type {VirtualLoop} from './virtual-loop.js';

/** Behaviour of a backend server; `hang` never answers, and `cut` closes the connection in mid-exchange. */
export type BackendMode = 'normal' | 'hang' | 'refuse' | 'cut';

/** Options of a `ModelBackend`. */
export interface BackendOptions {
  readonly services: readonly string[];
  readonly slots: number;
  readonly connections: number;
  /** Number of exchanges that run at full speed at the same time; beyond it they share the processors. */
  readonly processors: number;
  /** Mean duration of an exchange in milliseconds, by service; 10 ms for a service that is absent. */
  readonly serviceMs: Readonly<Record<string, number>>;
  /** Standard deviation of the natural logarithm of the duration. */
  readonly deviation: number;
  readonly answerBytes: number;
}

/** Model of a backend server whose exchanges share its processors. */
export class ModelBackend {
  /** Current behaviour; may be changed at any time and applies to new exchanges. */
  mode: BackendMode = 'normal';
  /** Factor by which the duration of new exchanges is multiplied. */
  slowness = 1;
  /** Whether the announcements say that the backend server is draining. */
  draining = false;
  /** Whether the backend server announces itself to its agent, once a second. */
  isAnnouncing = true;
  /** Sum of the time that ended exchanges occupied a slot, in milliseconds. */
  busyMs = 0;
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

  /** Returns the number of exchanges in progress. */
  getRunning(): number {
    return this.running;
  }

  /** Starts an exchange; its end is reported at the modelled time. */
  open(effect: OpenExchange): void {
    const {exchange, timeoutMs} = effect;
    if (this.mode === 'refuse') {
      this.loop.after(0.2, () =>
        this.report({kind: 'exchange-failed', exchange, begun: false, detail: 'refused'}),
      );
      return;
    }
    this.running += 1;
    const contention = Math.max(1, this.running / this.options.processors);
    const mean = this.options.serviceMs[effect.service] ?? 10;
    const durationMs = mean * this.getDurationFactor() * contention * this.slowness;
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

  /** Returns a log-normal factor with mean 1 (Box-Muller transform). */
  private getDurationFactor(): number {
    const {deviation} = this.options;
    const radiusSample = Math.max(1e-12, this.random.next());
    const angleSample = this.random.next();
    const normal = Math.sqrt(-2 * Math.log(radiusSample)) * Math.cos(2 * Math.PI * angleSample);
    return Math.exp(deviation * normal - (deviation * deviation) / 2);
  }
}
