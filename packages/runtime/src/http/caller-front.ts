import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {CallerAnswer, CallerRequest} from '@chervilbeam/coordination';
import {H3} from 'h3';
import {toNodeHandler} from 'h3/node';
import {maxRequestBodyBytes} from '../framing/index.js';
import {getForwardedHeaders} from './forwarded-headers.js';

const healthPath = '/healthz';
const defaultTimeoutMs = 10_000;
const maxTimeoutMs = 60_000;
/** Bytes of a refused body that are read, so that its caller gets the answer, before its connection is cut. */
const maxDiscardedBytes = 4 * maxRequestBodyBytes;
/** Longest body that is sent in one write with the headers. */
const maxJoinedBytes = 8 * 1024;
/** Time for which an idle caller connection is kept; longer than the balancer's, so that it closes first. */
const keepAliveTimeoutMs = 65_000;

/** Events of the callers' HTTP front. */
export interface CallerFrontHandlers {
  /** A request arrived whole. */
  request(request: CallerRequest): void;
  /** The caller of an unanswered request has disconnected. */
  gone(caller: number): void;
}

/** Callers' HTTP server of an entry. The first path segment names the service. */
export class CallerFront {
  private readonly open = new Map<number, ServerResponse>();
  private readonly server: Server;
  private lastCaller = 0;
  private draining = false;

  /** Creates the server; `start` opens it. */
  constructor(private readonly handlers: CallerFrontHandlers) {
    const app = new H3();
    app.get(healthPath, event => {
      event.res.status = this.draining ? 503 : 200;
      return this.draining ? 'draining\n' : 'ok\n';
    });
    const handleRoute = toNodeHandler(app);
    this.server = createServer({keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
      // Callers' requests are not routed by h3: its adapter costs about a third of an entry's time per request.
      if (request.url === healthPath) void handleRoute(request, response);
      else this.accept(request, response);
    });
  }

  /** Number of requests without an answer. */
  get openCount(): number {
    return this.open.size;
  }

  /** Listens on `ip:port`. */
  async start(address: string): Promise<void> {
    const separator = address.lastIndexOf(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      const port = Number(address.slice(separator + 1));
      this.server.listen(port, address.slice(0, separator), resolve);
    });
  }

  /** Makes `/healthz` answer 503, so that the balancer sends no new callers. */
  drain(): void {
    this.draining = true;
  }

  /** Stops listening and waits until every answer has been sent. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeIdleConnections();
    await closed;
  }

  /** Sends the answer of a request to its caller. */
  answer(answer: CallerAnswer): void {
    const response = this.open.get(answer.caller);
    if (response === undefined) return;
    this.open.delete(answer.caller);
    const headers: string[] = ['chervilbeam-outcome', answer.outcome];
    if (answer.reason !== undefined) headers.push('chervilbeam-reason', answer.reason);
    for (const [name, value] of answer.headers) headers.push(name, value);
    if (answer.body.length > 0 || !hasNoBody(response, answer.status)) {
      headers.push('content-length', String(answer.body.length));
    }
    // Idle connections of a draining entry would keep its server open.
    if (this.draining) headers.push('connection', 'close');
    response.writeHead(answer.status, headers);
    // As text of the same encoding as the headers, a short body goes out in one write with them.
    if (answer.body.length > maxJoinedBytes) response.end(answer.body);
    else response.end(toBuffer(answer.body).toString('latin1'), 'latin1');
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const caller = ++this.lastCaller;
    this.open.set(caller, response);
    response.once('close', () => {
      if (this.open.delete(caller)) this.handlers.gone(caller);
    });
    if (request.headers['content-length'] === undefined && !request.headers['transfer-encoding']) {
      return this.submit(caller, request, emptyBody);
    }
    this.collect(caller, request);
  }

  private collect(caller: number, request: IncomingMessage): void {
    const parts: Buffer[] = [];
    let bytes = 0;
    request.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes > maxDiscardedBytes) request.destroy();
      else if (bytes <= maxRequestBodyBytes) parts.push(part);
      else if (this.open.has(caller)) this.refuse(caller, 413, 'too-large');
    });
    request.on('end', () => {
      if (!request.complete || bytes > maxRequestBodyBytes) return;
      this.submit(
        caller,
        request,
        parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts),
      );
    });
  }

  private submit(caller: number, request: IncomingMessage, body: Uint8Array): void {
    const url = request.url ?? '/';
    const end = url.slice(1).search(/[/?]/);
    const service = end < 0 ? url.slice(1) : url.slice(1, end + 1);
    const rest = end < 0 ? '' : url.slice(end + 1);
    const timeoutMs = readTimeout(request.headers['chervilbeam-timeout-ms']);
    if (service === '' || timeoutMs === undefined) return this.refuse(caller, 400, 'bad-request');
    const idempotent = request.headers['chervilbeam-idempotent'];
    this.handlers.request({
      kind: 'caller-request',
      caller,
      service,
      method: request.method ?? 'GET',
      path: rest.startsWith('/') ? rest : `/${rest}`,
      headers: getForwardedHeaders(request.rawHeaders),
      body,
      timeoutMs,
      ...(idempotent === undefined ? {} : {idempotent: idempotent === 'true'}),
    });
  }

  private refuse(caller: number, status: number, reason: 'too-large' | 'bad-request'): void {
    const outcome = 'not-run';
    this.answer({kind: 'answer', caller, outcome, status, headers: [], body: emptyBody, reason});
  }
}

const emptyBody = new Uint8Array(0);

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function hasNoBody(response: ServerResponse, status: number): boolean {
  return response.req.method === 'HEAD' || status === 204 || status === 304;
}

function readTimeout(value: string | string[] | undefined): number | undefined {
  if (value === undefined) return defaultTimeoutMs;
  const timeoutMs = Number(value);
  if (!Number.isInteger(timeoutMs) || timeoutMs < 1) return undefined;
  return Math.min(timeoutMs, maxTimeoutMs);
}
