import type {StoreAnswer} from '@chervilbeam/coordination';
import {Pool} from 'undici';

/** Options of `StoreClient`. */
export interface StoreClientOptions {
  /** Origin of the store, `http://ip:port`. */
  readonly url: string;
  /** Time in milliseconds after which a call without an answer has an unknown result; 2000 by default. */
  readonly timeoutMs?: number;
  /** Called after each answer with the lengths of the request and the answer body. */
  readonly onBytes?: (sent: number, received: number) => void;
}

/** Answer to `openLease`. */
export type LeaseAnswer =
  | {readonly result: 'ok'; readonly lease: string; readonly revision: number}
  | Exclude<StoreAnswer, {readonly result: 'ok'}>;

/** Answer to `watch`; `quiet` means that the wait ended without a newer revision. */
export type WatchAnswer = StoreAnswer | {readonly result: 'quiet'};

interface StoreReply {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

const defaultTimeoutMs = 2000;

/** Time added to the wait of a watch to get the timeout of its call. */
const watchTimeoutMarginMs = 1000;

/**
 * Error codes that occur only before a call is sent, so the store cannot have executed it. A connection reset may
 * occur after the store has executed the call; its result is therefore unknown.
 */
const unsentErrorCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Client of the HTTP API of the store. Failures are returned as answers; no call throws. */
export class StoreClient {
  readonly #pool: Pool;
  readonly #timeoutMs: number;
  readonly #abortControllers = new Set<AbortController>();

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

  /**
   * Writes a key if it has the expected revision, where 0 means absent. A key with a lease is removed when the lease
   * ends.
   */
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

  /** Waits up to `waitMs` until the key has a revision above `after`. */
  async watch(key: string, after: number, waitMs: number): Promise<WatchAnswer> {
    const path = `/v1/watch/${encodeKey(key)}?after=${after}&waitMs=${waitMs}`;
    const reply = await this.#sendRequest('GET', path, undefined, waitMs + watchTimeoutMarginMs);
    if (!('status' in reply)) return reply;
    return reply.status === 204 ? {result: 'quiet'} : toAnswer(reply);
  }

  /** Opens a lease that expires after `ttlMs` without a renewal. */
  async openLease(ttlMs: number): Promise<LeaseAnswer> {
    const reply = await this.#sendRequest('POST', '/v1/leases', JSON.stringify({ttlMs}));
    if (!('status' in reply)) return reply;
    const answer = toAnswer(reply);
    if (answer.result !== 'ok') return answer;
    return {result: 'ok', lease: String(reply.body.lease), revision: answer.revision};
  }

  /** Renews a lease; `mismatch` means that it has expired. */
  async renewLease(lease: string): Promise<StoreAnswer> {
    return this.#call('POST', `/v1/leases/${encodeURIComponent(lease)}/renew`);
  }

  /** Closes a lease and removes its keys. */
  async closeLease(lease: string): Promise<StoreAnswer> {
    return this.#call('DELETE', `/v1/leases/${encodeURIComponent(lease)}`);
  }

  /** Aborts all calls and closes the connections; calls in flight return `unknown`. */
  async close(): Promise<void> {
    for (const abortController of this.#abortControllers) abortController.abort();
    await this.#pool.destroy();
  }

  async #call(method: string, path: string, body?: string): Promise<StoreAnswer> {
    const reply = await this.#sendRequest(method, path, body);
    return 'status' in reply ? toAnswer(reply) : reply;
  }

  async #sendRequest(
    method: string,
    path: string,
    body?: string,
    timeoutMs = this.#timeoutMs,
  ): Promise<StoreReply | {readonly result: 'unavailable'} | {readonly result: 'unknown'}> {
    const abortController = new AbortController();
    this.#abortControllers.add(abortController);
    const timer = setTimeout(() => abortController.abort(), timeoutMs);
    try {
      const response = await this.#pool.request({
        method,
        path,
        body,
        signal: abortController.signal,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
      });
      const text = await response.body.text();
      this.options.onBytes?.(body?.length ?? 0, text.length);
      return {status: response.statusCode, body: parseBody(text)};
    } catch (error) {
      const code = (error as {code?: string}).code ?? '';
      return {result: unsentErrorCodes.has(code) ? 'unavailable' : 'unknown'};
    } finally {
      clearTimeout(timer);
      this.#abortControllers.delete(abortController);
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

function toAnswer(reply: StoreReply): StoreAnswer {
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
