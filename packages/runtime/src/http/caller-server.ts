import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {CallerAnswer, CallerRequest} from '@chervilbeam/coordination';
import {H3} from 'h3';
import {toNodeHandler} from 'h3/node';
import {maxRequestBodyBytes} from '../framing/index.js';
import {getForwardedHeaders} from './forwarded-headers.js';

const healthPath = '/healthz';
/** Timeout of a request without the header `chervilbeam-timeout-ms`. */
const defaultTimeoutMs = 10_000;
/** Longest timeout; longer ones are shortened to it. */
const maxTimeoutMs = 60_000;
/**
 * Size up to which a body over the limit is still read and discarded, so that its caller can receive the refusal. A
 * larger body closes the connection.
 */
const maxDiscardedBodyBytes = 4 * maxRequestBodyBytes;
/** Largest answer body that is sent in one write with the headers. */
const maxSingleWriteBodyBytes = 8 * 1024;
/** Idle timeout of caller connections; longer than the load balancer's, so that the balancer closes them first. */
const keepAliveTimeoutMs = 65_000;

/** Callbacks of `CallerServer`. */
export interface CallerServerHandlers {
  /** A request arrived with its whole body. */
  request(request: CallerRequest): void;
  /** A caller disconnected before its request was answered. */
  disconnected(caller: number): void;
}

/** HTTP server for the callers of an entry. The first path segment names the service. */
export class CallerServer {
  private readonly openResponses = new Map<number, ServerResponse>();
  private readonly server: Server;
  private lastCallerId = 0;
  private draining = false;

  /** Creates the server; `start` listens. */
  constructor(private readonly handlers: CallerServerHandlers) {
    const app = new H3();
    app.get(healthPath, event => {
      event.res.status = this.draining ? 503 : 200;
      return this.draining ? 'draining\n' : 'ok\n';
    });
    const handleRoute = toNodeHandler(app);
    this.server = createServer({keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
      // Requests to services bypass h3: its adapter takes about a third of an entry's processing time per request.
      if (request.url === healthPath) void handleRoute(request, response);
      else this.accept(request, response);
    });
  }

  /** Number of requests that have not been answered yet. */
  get openRequestCount(): number {
    return this.openResponses.size;
  }

  /** Listens on `ip:port`. Rejects when the address cannot be listened on. */
  async start(address: string): Promise<void> {
    const separator = address.lastIndexOf(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      const port = Number(address.slice(separator + 1));
      this.server.listen(port, address.slice(0, separator), resolve);
    });
  }

  /** Makes `/healthz` answer 503, so that the load balancer sends no new callers. */
  drain(): void {
    this.draining = true;
  }

  /** Stops listening and resolves when every answer has been sent and all connections are closed. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeIdleConnections();
    await closed;
  }

  /** Sends an answer to its caller; does nothing if the caller has disconnected. */
  answer(answer: CallerAnswer): void {
    const response = this.openResponses.get(answer.caller);
    if (response === undefined) return;
    this.openResponses.delete(answer.caller);
    const headers: string[] = ['chervilbeam-outcome', answer.outcome];
    if (answer.reason !== undefined) headers.push('chervilbeam-reason', answer.reason);
    for (const [name, value] of answer.headers) headers.push(name, value);
    if (answer.body.length > 0 || !mustOmitBody(response, answer.status)) {
      headers.push('content-length', String(answer.body.length));
    }
    // Idle keep-alive connections would keep the server of a draining entry open.
    if (this.draining) headers.push('connection', 'close');
    response.writeHead(answer.status, headers);
    // Node.js joins a short body with the headers in one write only if it is a string in their encoding.
    if (answer.body.length > maxSingleWriteBodyBytes) response.end(answer.body);
    else response.end(toBuffer(answer.body).toString('latin1'), 'latin1');
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const caller = ++this.lastCallerId;
    this.openResponses.set(caller, response);
    response.once('close', () => {
      if (this.openResponses.delete(caller)) this.handlers.disconnected(caller);
    });
    if (request.headers['content-length'] === undefined && !request.headers['transfer-encoding']) {
      return this.submit(caller, request, emptyBody);
    }
    this.readBody(caller, request);
  }

  private readBody(caller: number, request: IncomingMessage): void {
    const parts: Buffer[] = [];
    let bytes = 0;
    request.on('data', (part: Buffer) => {
      bytes += part.length;
      if (bytes > maxDiscardedBodyBytes) request.destroy();
      else if (bytes <= maxRequestBodyBytes) parts.push(part);
      else if (this.openResponses.has(caller)) this.refuse(caller, 413, 'too-large');
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
    const pathAndQuery = end < 0 ? '' : url.slice(end + 1);
    const timeoutMs = readTimeout(request.headers['chervilbeam-timeout-ms']);
    if (service === '' || timeoutMs === undefined) return this.refuse(caller, 400, 'bad-request');
    const idempotent = request.headers['chervilbeam-idempotent'];
    this.handlers.request({
      kind: 'caller-request',
      caller,
      service,
      method: request.method ?? 'GET',
      path: pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`,
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

function mustOmitBody(response: ServerResponse, status: number): boolean {
  return response.req.method === 'HEAD' || status === 204 || status === 304;
}

function readTimeout(value: string | string[] | undefined): number | undefined {
  if (value === undefined) return defaultTimeoutMs;
  const timeoutMs = Number(value);
  if (!Number.isInteger(timeoutMs) || timeoutMs < 1) return undefined;
  return Math.min(timeoutMs, maxTimeoutMs);
}
