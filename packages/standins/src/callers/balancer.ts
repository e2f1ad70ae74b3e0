import {Agent, request} from 'undici';

const healthCheckIntervalMs = 200;
const healthCheckTimeoutMs = 150;

/** One request of a caller. */
export interface BalancerRequest {
  /** Sent as the `x-request-id` header. */
  readonly id: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Result of a request. `lost`: no entry was healthy, or the connection ended without a whole answer. */
export interface BalancerResult {
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'lost';
  /** HTTP status; 0 for a lost request. */
  readonly status: number;
  /** Value of the `chervilbeam-reason` header. */
  readonly reason?: string;
  readonly body: string;
}

interface Target {
  readonly name: string;
  readonly address: string;
  isHealthy: boolean;
}

/** Stand-in for the platform's load balancer: sends requests round-robin to healthy entries and never retries one. */
export class Balancer {
  private readonly targets: Target[];
  private readonly agent = new Agent({connections: 64, pipelining: 1});
  private timer: NodeJS.Timeout | undefined;
  private nextIndex = 0;

  /** Creates a balancer; `address` is the `ip:port` at which an entry listens for callers. */
  constructor(entries: ReadonlyArray<{readonly name: string; readonly address: string}>) {
    this.targets = entries.map(entry => ({...entry, isHealthy: true}));
  }

  /** Starts the periodic health checks. */
  start(): void {
    this.timer = setInterval(() => void this.checkHealth(), healthCheckIntervalMs);
  }

  /** Stops the health checks and closes all connections. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.agent.destroy();
  }

  /**
   * Sends a request to the next healthy entry, if any. `onSend` is called with the entry's name before the request is
   * sent.
   */
  async send(call: BalancerRequest, onSend: (entry: string) => void): Promise<BalancerResult> {
    const healthyTargets = this.targets.filter(target => target.isHealthy);
    const target = healthyTargets[this.nextIndex++ % Math.max(1, healthyTargets.length)];
    if (target === undefined) return {outcome: 'lost', status: 0, body: ''};
    onSend(target.name);
    try {
      const response = await request(`http://${target.address}/${call.service}${call.path}`, {
        dispatcher: this.agent,
        method: call.method,
        headers: {...call.headers, 'x-request-id': call.id},
        ...(call.body !== undefined && {body: call.body}),
      });
      const body = await response.body.text();
      const outcome = response.headers['chervilbeam-outcome'] as BalancerResult['outcome'];
      const reason = response.headers['chervilbeam-reason'];
      const {statusCode: status} = response;
      return {outcome, status, body, ...(typeof reason === 'string' && {reason})};
    } catch {
      return {outcome: 'lost', status: 0, body: ''};
    }
  }

  private async checkHealth(): Promise<void> {
    await Promise.all(
      this.targets.map(async target => {
        try {
          const response = await request(`http://${target.address}/healthz`, {
            dispatcher: this.agent,
            signal: AbortSignal.timeout(healthCheckTimeoutMs),
          });
          await response.body.dump();
          target.isHealthy = response.statusCode === 200;
        } catch {
          target.isHealthy = false;
        }
      }),
    );
  }
}
