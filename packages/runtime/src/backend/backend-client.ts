import type {Clock, OpenExchange} from '@chervilbeam/coordination';
import {type Dispatcher, Pool} from 'undici';
import {Exchange, type ExchangeEnd} from './exchange.js';

/** Interval at which the deadlines of open exchanges are checked. */
const deadlineCheckIntervalMs = 20;
const connectTimeoutMs = 1000;

/** HTTP client of the backend servers on the host of an agent. */
export class BackendClient {
  private readonly pools = new Map<string, {connections: number; pool: Pool}>();
  private readonly openExchanges = new Map<number, Exchange>();
  private readonly deadlineTimer: NodeJS.Timeout;

  /** Creates a client that reports the end of each exchange to `post`. */
  constructor(
    private readonly clock: Clock,
    private readonly post: (event: ExchangeEnd) => void,
  ) {
    this.deadlineTimer = setInterval(() => this.checkDeadlines(), deadlineCheckIntervalMs);
  }

  /** Adds a backend server, or replaces its connection pool when the number of connections changed. */
  setBackend(url: string, connections: number): void {
    if (this.pools.get(url)?.connections === connections) return;
    this.removeBackend(url);
    const pool = new Pool(url, {connections, pipelining: 1, connectTimeout: connectTimeoutMs});
    this.pools.set(url, {connections, pool});
  }

  /** Removes a backend server; its connections close once their open exchanges have ended. */
  removeBackend(url: string): void {
    const entry = this.pools.get(url);
    this.pools.delete(url);
    void entry?.pool.close();
  }

  /** Starts an exchange. Every failure is reported as its end; the method does not throw. */
  openExchange(effect: OpenExchange): void {
    const {exchange} = effect;
    const handler = new Exchange(effect, this.clock.now() + effect.timeoutMs, event => {
      this.openExchanges.delete(exchange);
      this.post(event);
    });
    this.openExchanges.set(exchange, handler);
    const pool = this.pools.get(effect.url)?.pool;
    if (pool === undefined) return handler.abort('backend-gone');
    const headers: string[] = [];
    for (const [name, value] of effect.headers) headers.push(name, value);
    try {
      pool.dispatch(
        {
          path: effect.path,
          method: effect.method as Dispatcher.HttpMethod,
          headers,
          body: effect.body.length > 0 ? effect.body : null,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        handler,
      );
    } catch (error) {
      handler.abort((error as Error).message);
    }
  }

  /** Aborts an exchange whose answer is no longer needed. */
  abortExchange(exchange: number): void {
    this.openExchanges.get(exchange)?.abort('aborted');
  }

  /** Closes all connections at once and stops checking deadlines. */
  async stop(): Promise<void> {
    clearInterval(this.deadlineTimer);
    await Promise.all([...this.pools.values()].map(({pool}) => pool.destroy()));
  }

  private checkDeadlines(): void {
    const now = this.clock.now();
    for (const exchange of this.openExchanges.values()) {
      if (exchange.deadline <= now) exchange.abort('timeout');
    }
  }
}
