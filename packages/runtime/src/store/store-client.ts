import type {StoreAnswer} from '@chervilbeam/coordination';
import {Pool} from 'undici';

/** Options of `StoreClient`. */
export interface StoreClientOptions {
  /** Origin of the store, `http://ip:port`. */
  readonly url: string;
  /** A call without an answer for this long counts as lost. */
  readonly timeoutMs?: number;
  /** Receives the number of body bytes sent and received by each call. */
  readonly onBytes?: (sent: number, received: number) => void;
}

/** Answer to the opening of a lease. */
export type LeaseAnswer =
  | {readonly result: 'ok'; readonly lease: string; readonly revision: number}
  | Exclude<StoreAnswer, {readonly result: 'ok'}>;

/** Answer to a watch: `quiet` when the wait ended without a newer revision. */
export type WatchAnswer = StoreAnswer | {readonly result: 'quiet'};

interface Reply {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

const defaultTimeoutMs = 2000;

/** Time beyond its wait after which a watch counts as lost. */
const watchGraceMs = 1000;

/**
 * Errors that arise before the call is sent. A connection reset may arise later, after the effect, and
 * therefore counts as unknown.
 */
const unsentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Client of the store's HTTP interface. Every failure becomes an answer; no call throws. */
export class StoreClient {
  readonly #pool: Pool;
  readonly #timeoutMs: number;
  readonly #aborts = new Set<AbortController>();

  constructor(private readonly options: StoreClientOptions) {
    this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    this.#pool = new Pool(options.url, {
      connections: 16,
      pipelining: 1,
      connect: {timeout: this.#timeoutMs},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Reads a key; an absent key has revision 0 and an undefined value. */
  async read(key: string): Promise<StoreAnswer> {
    return this.#call('GET', `/v1/keys/${encodeKey(key)}`);
  }

  /** Writes a key if it has the expected revision (0: absent); with a lease, the key ends with the lease. */
  async write(
    key: string,
    value: unknown,
    expectedRevision: number,
    lease?: string,
  ): Promise<StoreAnswer> {
    const suffix = lease === undefined ? '' : `&lease=${encodeURIComponent(lease)}`;
    const path = `/v1/keys/${encodeKey(key)}?expect=${expectedRevision}${suffix}`;
    return this.#call('PUT', path, JSON.stringify(value));
  }

  /** Waits until the key has a revision above `after`. */
  async watch(key: string, after: number, waitMs: number): Promise<WatchAnswer> {
    const path = `/v1/watch/${encodeKey(key)}?after=${after}&waitMs=${waitMs}`;
    const reply = await this.#exchange('GET', path, undefined, waitMs + watchGraceMs);
    if (!('status' in reply)) return reply;
    return reply.status === 204 ? {result: 'quiet'} : toAnswer(reply);
  }

  /** Opens a lease. */
  async openLease(ttlMs: number): Promise<LeaseAnswer> {
    const reply = await this.#exchange('POST', '/v1/leases', JSON.stringify({ttlMs}));
    if (!('status' in reply)) return reply;
    const answer = toAnswer(reply);
    if (answer.result !== 'ok') return answer;
    return {result: 'ok', lease: String(reply.body.lease), revision: answer.revision};
  }

  /** Renews a lease; `mismatch` means that it has lapsed. */
  async renewLease(lease: string): Promise<StoreAnswer> {
    return this.#call('POST', `/v1/leases/${encodeURIComponent(lease)}/renew`);
  }

  /** Ends a lease and removes its keys. */
  async closeLease(lease: string): Promise<StoreAnswer> {
    return this.#call('DELETE', `/v1/leases/${encodeURIComponent(lease)}`);
  }

  /** Ends all calls; those in flight answer `unknown`. */
  async close(): Promise<void> {
    for (const abort of this.#aborts) abort.abort();
    await this.#pool.destroy();
  }

  async #call(method: string, path: string, body?: string): Promise<StoreAnswer> {
    const reply = await this.#exchange(method, path, body);
    return 'status' in reply ? toAnswer(reply) : reply;
  }

  async #exchange(
    method: string,
    path: string,
    body?: string,
    timeoutMs = this.#timeoutMs,
  ): Promise<Reply | {readonly result: 'unavailable'} | {readonly result: 'unknown'}> {
    const abort = new AbortController();
    this.#aborts.add(abort);
    const timer = setTimeout(() => abort.abort(), timeoutMs);
    try {
      const response = await this.#pool.request({
        method,
        path,
        body,
        signal: abort.signal,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
      });
      const text = await response.body.text();
      this.options.onBytes?.(body?.length ?? 0, text.length);
      return {status: response.statusCode, body: parseBody(text)};
    } catch (error) {
      const code = (error as {code?: string}).code ?? '';
      return {result: unsentCodes.has(code) ? 'unavailable' : 'unknown'};
    } finally {
      clearTimeout(timer);
      this.#aborts.delete(abort);
    }
  }
}

function encodeKey(key: string): string {
  return key.split('/').map(encodeURIComponent).join('/');
}

function parseBody(text: string): Record<string, unknown> {
  if (text === '') return {};
  const value = JSON.parse(text) as unknown;
  return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
}

function toAnswer(reply: Reply): StoreAnswer {
  const {revision, value} = reply.body;
  switch (reply.status) {
    case 200:
    case 201:
      return {
        result: 'ok',
        revision: typeof revision === 'number' ? revision : 0,
        value: value ?? undefined,
      };
    case 404:
    case 409:
      return {result: 'mismatch', ...(typeof revision === 'number' ? {revision} : {})};
    case 429:
      return {result: 'limited'};
    case 400:
    case 413:
    case 503:
      return {result: 'unavailable'};
    default:
      return {result: 'unknown'};
  }
}
