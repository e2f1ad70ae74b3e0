import {Balancer, type BalancerRequest} from '@chervilbeam/standins';
import type {DemoPlan} from './demo-plan.js';
import type {DemoRecorder} from './demo-recorder.js';

/** Interval in milliseconds between two rounds of requests. */
const roundIntervalMs = 50;
const longServiceMs = 600;

/** Callers of one deployment: lookups, requests that may run only once, and requests to a missing service. */
export class DemoTraffic {
  private readonly balancer: Balancer;
  private readonly openCalls = new Set<Promise<void>>();
  private timer: NodeJS.Timeout | undefined;
  private count = 0;
  private roundCount = 0;

  /** Creates callers that use the given entries. */
  constructor(
    private readonly plan: DemoPlan,
    entries: ReadonlyArray<{readonly name: string; readonly address: string}>,
    private readonly recorder: DemoRecorder,
  ) {
    this.balancer = new Balancer(entries);
  }

  /** Starts the callers. */
  start(): void {
    this.balancer.start();
    this.timer = setInterval(() => this.callRound(), roundIntervalMs);
  }

  /** Stops sending new requests and waits for the open ones. */
  async finish(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.openCalls);
  }

  /** Stops sending new requests and closes all connections. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.balancer.stop();
  }

  private callRound(): void {
    const {lookup, order} = this.plan;
    this.roundCount += 1;
    for (let i = 0; i < 3; i++) this.call(lookup, 'GET', {'x-service-ms': String(2 + i * 4)});
    this.call(order, 'POST', {'x-service-ms': '20'}, JSON.stringify({order: this.roundCount}));
    // Each lasts three times the interval between two of them, so that requests are in flight at every shutdown.
    if (this.roundCount % 4 === 0)
      this.call(lookup, 'GET', {'x-service-ms': String(longServiceMs)});
    if (this.roundCount % 5 === 0) this.call(lookup, 'GET', {'x-answer-bytes': '100000'});
    // No host serves this service: the callers must be answered that their requests did not run.
    if (this.roundCount % 10 === 0) this.call('no-such-service', 'POST', {}, '{}');
  }

  private call(
    service: string,
    method: 'GET' | 'POST',
    headers: Readonly<Record<string, string>>,
    body?: string,
  ): void {
    const id = `${this.plan.deployment}-${++this.count}`;
    const path = `/items/${this.count}`;
    const call = {id, service, method, path, headers, ...(body !== undefined && {body})};
    const done = this.sendAndRecord(call).finally(() => this.openCalls.delete(done));
    this.openCalls.add(done);
  }

  private async sendAndRecord(call: BalancerRequest): Promise<void> {
    const {id: request, service} = call;
    const idempotent = call.method === 'GET';
    let isSent = false;
    const result = await this.balancer.send(call, entry => {
      isSent = true;
      this.recorder.record({kind: 'request-submitted', request, entry, service, idempotent});
    });
    if (!isSent) return;
    const {outcome, status, body} = result;
    if (outcome === 'lost') this.recorder.record({kind: 'request-abandoned', request});
    else this.recorder.record({kind: 'request-answered', request, outcome, status, body});
  }
}
