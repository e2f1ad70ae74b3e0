import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {parseStoreFaults, type StoreFaults} from './store-faults.js';
import {defaultStoreLimits, StoreState, type StoreCall, type StoreReply} from './store-state.js';

/** Options of `StoreServer`. */
export interface StoreServerOptions {
  readonly host?: string;
  /** 0 selects any free port. */
  readonly port?: number;
  /** Delay of each call in milliseconds; 1 when not given. */
  readonly latencyMs?: number;
}

const expiryIntervalMs = 50;
const maxWatchWaitMs = 60_000;
const maxBodyBytes = 2_000_000;

/** Stand-in for the platform's store: its HTTP interface, its limits, and faults that tests inject. */
export class StoreServer {
  /** Contents and rules of the store. */
  readonly state = new StoreState();
  readonly #server: Server;
  /** Functions that end the waiting watches, called when an outage begins. */
  readonly #waitingWatches = new Set<() => void>();
  #timer: NodeJS.Timeout | undefined;
  #faults: StoreFaults;

  constructor(private readonly options: StoreServerOptions = {}) {
    const {writesPerSecond, readsPerSecond} = defaultStoreLimits;
    this.#faults = {
      outage: 'none',
      latencyMs: options.latencyMs ?? 1,
      loseAnswers: 0,
      writesPerSecond,
      readsPerSecond,
    };
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Faults that are currently simulated. */
  get faults(): StoreFaults {
    return this.#faults;
  }

  /** Replaces the given faults. An outage also ends all waiting watches. */
  setFaults(change: Partial<StoreFaults>): void {
    this.#faults = {...this.#faults, ...change};
    const {writesPerSecond, readsPerSecond, outage} = this.#faults;
    if (change.writesPerSecond !== undefined || change.readsPerSecond !== undefined) {
      this.state.setLimits({...defaultStoreLimits, writesPerSecond, readsPerSecond});
    }
    if (outage !== 'none') for (const end of [...this.#waitingWatches]) end();
  }

  /** Starts listening and returns the origin `http://ip:port`. Rejects when the address cannot be bound. */
  async listen(): Promise<string> {
    const host = this.options.host ?? '127.0.0.1';
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.options.port ?? 0, host, resolve);
    });
    this.#timer = setInterval(() => this.state.expire(getTimeMs()), expiryIntervalMs);
    return `http://${host}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    await new Promise(resolve => this.#server.close(resolve));
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readBody(request);
    if (url.pathname === '/v1/control') return this.#control(request, body, response);
    const {outage, latencyMs} = this.#faults;
    if (outage === 'hang') return;
    if (latencyMs > 0) await new Promise(resolve => setTimeout(resolve, latencyMs));
    if (outage === 'refuse') return send(response, {status: 503, error: 'outage'});
    if (body === undefined) return send(response, {status: 413, error: 'body too large'});
    if (request.method === 'GET' && url.pathname.startsWith('/v1/watch/')) {
      return this.#watch(url, response);
    }
    const call = parseCall(request.method ?? 'GET', url, body);
    if ('status' in call) return send(response, call);
    const reply = this.state.call(call, getTimeMs());
    if (call.kind !== 'read' && reply.status < 300 && this.#faults.loseAnswers > 0) {
      this.setFaults({loseAnswers: this.#faults.loseAnswers - 1});
      response.destroy();
      return;
    }
    send(response, reply);
  }

  #watch(url: URL, response: ServerResponse): void {
    const key = getKey(url, '/v1/watch/');
    const after = Number(url.searchParams.get('after') ?? 0);
    const waitMs = Math.min(Number(url.searchParams.get('waitMs') ?? 0), maxWatchWaitMs);
    const immediate = this.state.beginWatch(key, after, getTimeMs());
    if (immediate) return send(response, immediate);
    const finish = (reply: StoreReply) => {
      stop();
      send(response, reply);
    };
    const unsubscribe = this.state.onChange(key, () => finish(this.state.peek(key)));
    const timer = setTimeout(() => finish({status: 204}), waitMs);
    const end = () => {
      if (this.#faults.outage === 'hang') stop();
      else finish({status: 503, error: 'outage'});
    };
    const stop = () => {
      unsubscribe();
      clearTimeout(timer);
      this.#waitingWatches.delete(end);
    };
    this.#waitingWatches.add(end);
    response.once('close', stop);
  }

  #control(request: IncomingMessage, body: string | undefined, response: ServerResponse): void {
    if (request.method === 'POST') {
      const value = parseJson(body ?? '');
      const {faults, findings} = parseStoreFaults(value, this.#faults);
      if (findings.length > 0 || value === undefined) {
        return sendJson(response, 400, {findings});
      }
      this.setFaults(faults);
    }
    sendJson(response, 200, {...this.#faults, counts: this.state.counts});
  }
}

function getTimeMs(): number {
  return performance.now();
}

function getKey(url: URL, prefix: string): string {
  return decodeURIComponent(url.pathname.slice(prefix.length));
}

function parseCall(method: string, url: URL, body: string): StoreCall | StoreReply {
  const {pathname, searchParams} = url;
  if (pathname.startsWith('/v1/keys/')) {
    const key = getKey(url, '/v1/keys/');
    if (method === 'GET') return {kind: 'read', key};
    if (method === 'PUT') {
      if (parseJson(body) === undefined) return {status: 400, error: 'body is not JSON'};
      const expect = searchParams.get('expect');
      const lease = searchParams.get('lease');
      return {
        kind: 'write',
        key,
        text: body,
        expect: expect === null ? undefined : Number(expect),
        ...(lease === null ? {} : {lease}),
      };
    }
  }
  if (pathname === '/v1/leases' && method === 'POST') {
    const ttlMs = Number((parseJson(body) as {ttlMs?: unknown} | undefined)?.ttlMs);
    if (!(ttlMs > 0)) return {status: 400, error: 'ttlMs must be above 0'};
    return {kind: 'open-lease', ttlMs};
  }
  const match = /^\/v1\/leases\/([^/]+)(\/renew)?$/.exec(pathname);
  if (match?.[1] && match[2] && method === 'POST') return {kind: 'renew-lease', lease: match[1]};
  if (match?.[1] && !match[2] && method === 'DELETE') return {kind: 'close-lease', lease: match[1]};
  return {status: 400, error: 'no such call'};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Returns the body, or undefined when it exceeds `maxBodyBytes`. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size <= maxBodyBytes) chunks.push(chunk);
  }
  return size <= maxBodyBytes ? Buffer.concat(chunks).toString('utf8') : undefined;
}

function send(response: ServerResponse, reply: StoreReply): void {
  const {status, text, ...fields} = reply;
  if (status === 204) {
    response.writeHead(204).end();
    return;
  }
  // The value is stored as JSON text and is inserted into the body without parsing it.
  const fieldsJson = JSON.stringify(fields);
  const body = text === undefined ? fieldsJson : `{"value":${text},${fieldsJson.slice(1)}`;
  response.writeHead(status, {'content-type': 'application/json'}).end(body);
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(value));
}
