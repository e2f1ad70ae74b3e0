import {Agent, request} from 'undici';

const healthEveryMs = 200;
const healthTimeoutMs = 150;

/** One request of a caller. */
export interface CallerCall {
  readonly id: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** What a caller got. `lost` means that the connection to the entry ended without an answer. */
export interface CallerResult {
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'lost';
  readonly status: number;
  readonly reason?: string;
  readonly body: string;
}

interface Target {
  readonly name: string;
  readonly address: string;
  healthy: boolean;
}

/** Stand-in of the platform's balancer: spreads callers over healthy entries and never repeats a request. */
export class Balancer {
  private readonly targets: Target[];
  private readonly agent = new Agent({connections: 64, pipelining: 1});
  private timer: NodeJS.Timeout | undefined;
  private next = 0;

  /** Creates a balancer over callers' addresses of entries. */
  constructor(entries: ReadonlyArray<{readonly name: string; readonly address: string}>) {
    this.targets = entries.map(entry => ({...entry, healthy: true}));
  }

  /** Starts to watch the entries' health. */
  start(): void {
    this.timer = setInterval(() => void this.check(), healthEveryMs);
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.agent.destroy();
  }

  /** Sends a request to the next healthy entry; `begin` is told which one. */
  async send(call: CallerCall, begin: (entry: string) => void): Promise<CallerResult> {
    const healthy = this.targets.filter(target => target.healthy);
    const target = healthy[this.next++ % Math.max(1, healthy.length)];
    if (target === undefined) return {outcome: 'lost', status: 0, body: ''};
    begin(target.name);
    try {
      const response = await request(`http://${target.address}/${call.service}${call.path}`, {
        dispatcher: this.agent,
        method: call.method,
        headers: {...call.headers, 'x-request-id': call.id},
        ...(call.body !== undefined && {body: call.body}),
      });
      const body = await response.body.text();
      const outcome = response.headers['chervilbeam-outcome'] as CallerResult['outcome'];
      const reason = response.headers['chervilbeam-reason'];
      const {statusCode: status} = response;
      return {outcome, status, body, ...(typeof reason === 'string' && {reason})};
    } catch {
      return {outcome: 'lost', status: 0, body: ''};
    }
  }

  private async check(): Promise<void> {
    await Promise.all(
      this.targets.map(async target => {
        try {
          const response = await request(`http://${target.address}/healthz`, {
            dispatcher: this.agent,
            signal: AbortSignal.timeout(healthTimeoutMs),
          });
          await response.body.dump();
          target.healthy = response.statusCode === 200;
        } catch {
          target.healthy = false;
        }
      }),
    );
  }
}
