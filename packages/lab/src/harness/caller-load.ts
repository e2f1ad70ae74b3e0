import {SeededRandom, type Outcome} from '@chervilbeam/coordination';
import type {RequestFleet} from './request-fleet.js';

/** Arrival rate, requests and retries of a group of callers. */
export interface LoadOptions {
  readonly service: string;
  /** Entries over which the load balancer spreads the requests. */
  readonly entries: readonly string[];
  readonly method: string;
  /** Returns the arrival rate at a virtual time, in requests per second. */
  readonly rate: (atMs: number) => number;
  readonly timeoutMs: number;
  readonly bodyBytes: number;
  /** Maximum number of retries by a caller whose request was not answered. */
  readonly callerRetries: number;
  /** Delay before each retry. */
  readonly callerRetryMs: number;
  /** One-way latency between caller and entry. */
  readonly clientLatencyMs: number;
}

/** Outcome of one request as its caller sees it, over all attempts. */
export interface Sample {
  /** Virtual time in milliseconds of the first attempt. */
  readonly startedAt: number;
  readonly latencyMs: number;
  readonly outcome: Outcome;
  /** Number of times that the caller sent the request. */
  readonly tries: number;
}

/** Maximum time in milliseconds before the arrival rate is read again, so that changes of the rate take effect. */
const step = 50;

/** Open-loop load: requests arrive at random, independent of the answers to earlier ones, with optional retries. */
export class CallerLoad {
  /** Requests that were answered or ran out of retries, in the order in which they ended. */
  readonly samples: Sample[] = [];
  private readonly random: SeededRandom;
  private readonly body: Uint8Array;
  private count = 0;

  constructor(
    private readonly fleet: RequestFleet,
    readonly options: LoadOptions,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.body = new Uint8Array(options.bodyBytes);
    this.scheduleNext();
  }

  private scheduleNext(): void {
    const {loop} = this.fleet;
    const rate = this.options.rate(loop.now());
    // No request is due at a rate of zero; the rate is read again after a step.
    if (rate <= 0) return loop.after(step, () => this.scheduleNext());
    const interarrivalMs = (-Math.log(1 - this.random.next()) * 1000) / rate;
    loop.after(Math.min(interarrivalMs, step), () => {
      if (interarrivalMs <= step) this.start();
      this.scheduleNext();
    });
  }

  private start(): void {
    const index = this.count++;
    this.sendAttempt(index, this.fleet.loop.now(), 1);
  }

  private sendAttempt(index: number, startedAt: number, tries: number): void {
    const {
      entries,
      service,
      method,
      timeoutMs,
      clientLatencyMs: clientMs,
      callerRetries,
      callerRetryMs,
    } = this.options;
    const {loop} = this.fleet;
    const entry = entries[this.random.nextInteger(entries.length)]!;
    const path = `/${service}/${index}`;
    const request = {service, method, path, headers: [], body: this.body, timeoutMs};
    loop.after(clientMs, () => {
      this.fleet.call(entry, request, answer =>
        loop.after(clientMs, () => {
          const shouldRetry = answer.outcome !== 'answered' && tries <= callerRetries;
          if (shouldRetry) {
            loop.after(callerRetryMs, () => this.sendAttempt(index, startedAt, tries + 1));
            return;
          }
          const latencyMs = loop.now() - startedAt;
          this.samples.push({startedAt, latencyMs, outcome: answer.outcome, tries});
        }),
      );
    });
  }
}
