import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {FailureModes} from './failure-modes.js';
import type {EventRecorder} from './event-recorder.js';
import type {WorkerSettings} from './worker-settings.js';

/** Stand-in for a backend server: answers requests and records the start and end of each exchange. */
export class BackendServer {
  private readonly server: Server;
  private exchangeCount = 0;
  private openExchanges = 0;

  /** Creates the server; `start` opens it. */
  constructor(
    private readonly settings: Pick<WorkerSettings, 'name' | 'serviceMs'>,
    private readonly failures: Readonly<FailureModes>,
    private readonly recorder: EventRecorder,
  ) {
    this.server = createServer((request, response) => this.serve(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  /** Listens on `ip:port` and returns the port; port 0 selects a free one. Rejects when the address cannot be bound. */
  async start(address: string): Promise<number> {
    const [host, port] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
    const boundAddress = this.server.address();
    return typeof boundAddress === 'object' && boundAddress !== null ? boundAddress.port : 0;
  }

  /** Number of exchanges in progress. */
  get openExchangeCount(): number {
    return this.openExchanges;
  }

  /** Closes the server and its connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const name = String(request.headers['x-request-id'] ?? '');
    const exchange = `${this.settings.name}:${++this.exchangeCount}`;
    // Requests of load measurements have no id and are not recorded.
    const isRecorded = name !== '';
    const {name: host} = this.settings;
    if (isRecorded) this.recorder.record('exchange-started', {request: name, host, exchange});
    this.openExchanges += 1;
    let receivedBytes = 0;
    request.on('data', (chunk: Buffer) => (receivedBytes += chunk.length));
    response.on('close', () => {
      this.openExchanges -= 1;
      if (isRecorded && !response.writableFinished) {
        this.recorder.record('exchange-ended', {exchange, cut: 'aborted'});
      }
    });
    request.on('end', () => {
      const waitMs = this.getServiceMs(request) * this.failures.slowness;
      const finish = () => {
        if (response.destroyed || this.failures.hangAnswers) return;
        const body = createAnswer(name, request, receivedBytes);
        if (this.failures.cutAnswers) return this.cut(response, body);
        if (isRecorded) this.recorder.record('exchange-ended', {exchange, body});
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

  /** Returns the service time in milliseconds: the `x-service-ms` header, limited to 60 s, or else the setting. */
  private getServiceMs(request: IncomingMessage): number {
    const requestedMs = request.headers['x-service-ms'];
    return requestedMs === undefined
      ? this.settings.serviceMs
      : Math.min(60_000, Number(requestedMs) || 0);
  }

  /** Sends a truncated answer: states a length of one byte more than it sends, and then closes the connection. */
  private cut(response: ServerResponse, body: string): void {
    response.writeHead(200, {'content-length': Buffer.byteLength(body) + 1});
    response.write(body, () => response.destroy());
  }
}

/**
 * Returns an answer with the id, method, path and body length of its request, so that a caller can check that it
 * received the whole answer to its own request. The `x-answer-bytes` header asks for padding, at most 4 MB.
 */
function createAnswer(name: string, request: IncomingMessage, receivedBytes: number): string {
  const paddingBytes = Math.min(4_000_000, Number(request.headers['x-answer-bytes'] ?? 0) || 0);
  return `${name} ${request.method} ${request.url} ${receivedBytes}\n${'.'.repeat(paddingBytes)}`;
}
