import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {FailureModes} from './failure-modes.js';
import type {Observer} from './observer.js';
import type {WorkerSettings} from './worker-settings.js';

/** Answers requests and records each exchange as it happens. */
export class BackendServer {
  private readonly server: Server;
  private exchanges = 0;
  private open = 0;

  /** Creates the server; `start` opens it. */
  constructor(
    private readonly settings: Pick<WorkerSettings, 'name' | 'serviceMs'>,
    private readonly failures: Readonly<FailureModes>,
    private readonly observer: Observer,
  ) {
    this.server = createServer((request, response) => this.serve(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  /** Listens on `ip:port`; port 0 picks a free one. Returns the port. */
  async start(address: string): Promise<number> {
    const [host, port] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
    const bound = this.server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  }

  /** Number of requests without an answer. */
  get openCount(): number {
    return this.open;
  }

  /** Closes the server and its connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const name = String(request.headers['x-request-id'] ?? '');
    const exchange = `${this.settings.name}:${++this.exchanges}`;
    // Loads for measurements carry no id and are not recorded.
    const recorded = name !== '';
    const {name: host} = this.settings;
    if (recorded) this.observer.record('exchange-started', {request: name, host, exchange});
    this.open += 1;
    let received = 0;
    request.on('data', (part: Buffer) => (received += part.length));
    response.on('close', () => {
      this.open -= 1;
      if (recorded && !response.writableFinished) {
        this.observer.record('exchange-ended', {exchange, cut: 'aborted'});
      }
    });
    request.on('end', () => {
      const waitMs = this.getServiceMs(request) * this.failures.slowness;
      const finish = () => {
        if (response.destroyed || this.failures.hangAnswers) return;
        const body = createAnswer(name, request, received);
        if (this.failures.cutAnswers) return this.cut(response, body);
        if (recorded) this.observer.record('exchange-ended', {exchange, body});
        response.writeHead(200, {
          'content-type': 'text/plain',
          'content-length': Buffer.byteLength(body),
        });
        response.end(body);
      };
      if (waitMs > 0) setTimeout(finish, waitMs);
      else finish();
    });
  }

  private getServiceMs(request: IncomingMessage): number {
    const asked = request.headers['x-service-ms'];
    return asked === undefined ? this.settings.serviceMs : Math.min(60_000, Number(asked) || 0);
  }

  private cut(response: ServerResponse, body: string): void {
    response.writeHead(200, {'content-length': Buffer.byteLength(body) + 1});
    response.write(body, () => response.destroy());
  }
}

/** Returns an answer that names its request, so that a caller can tell its own whole answer. */
function createAnswer(name: string, request: IncomingMessage, received: number): string {
  const padding = Math.min(4_000_000, Number(request.headers['x-answer-bytes'] ?? 0) || 0);
  return `${name} ${request.method} ${request.url} ${received}\n${'.'.repeat(padding)}`;
}
