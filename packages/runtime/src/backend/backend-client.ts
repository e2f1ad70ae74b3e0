import type {Clock, OpenExchange} from '@chervilbeam/coordination';
import {type Dispatcher, Pool} from 'undici';
import {Exchange, type ExchangeEnd} from './exchange.js';

/** Time between two looks at the deadlines of open exchanges. */
const deadlineCheckMs = 20;
const connectTimeoutMs = 1000;

/** HTTP client to the backend servers beside an agent. */
export class BackendClient {
  private readonly pools = new Map<string, {connections: number; pool: Pool}>();
  private readonly open = new Map<number, Exchange>();
  private readonly timer: NodeJS.Timeout;

  /** Creates a client that reports the end of each exchange to `post`. */
  constructor(
    private readonly clock: Clock,
    private readonly post: (event: ExchangeEnd) => void,
  ) {
    this.timer = setInterval(() => this.checkDeadlines(), deadlineCheckMs);
  }

  /** Sets the number of connections that a backend server accepts. */
  setBackend(url: string, connections: number): void {
    if (this.pools.get(url)?.connections === connections) return;
    this.removeBackend(url);
    const pool = new Pool(url, {connections, pipelining: 1, connectTimeout: connectTimeoutMs});
    this.pools.set(url, {connections, pool});
  }

  /** Closes the connections to a backend server after its open exchanges. */
  removeBackend(url: string): void {
    const entry = this.pools.get(url);
    this.pools.delete(url);
    void entry?.pool.close();
  }

  /** Opens an exchange. */
  openExchange(effect: OpenExchange): void {
    const {exchange} = effect;
    const handler = new Exchange(effect, this.clock.now() + effect.timeoutMs, event => {
      this.open.delete(exchange);
      this.post(event);
    });
    this.open.set(exchange, handler);
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

  /** Ends an exchange whose answer nobody awaits. */
  abortExchange(exchange: number): void {
    this.open.get(exchange)?.abort('aborted');
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all([...this.pools.values()].map(({pool}) => pool.destroy()));
  }

  private checkDeadlines(): void {
    const now = this.clock.now();
    for (const exchange of this.open.values()) {
      if (exchange.deadline <= now) exchange.abort('timeout');
    }
  }
}
