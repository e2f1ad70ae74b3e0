import type {
  ExchangeFailed,
  ExchangeFinished,
  Headers,
  OpenExchange,
} from '@chervilbeam/coordination';
import type {Dispatcher} from 'undici';
import {maxAnswerBodyBytes} from '../framing/index.js';
import {getForwardedHeaders} from '../http/forwarded-headers.js';

type Controller = Dispatcher.DispatchController;

/** End of an exchange: an answer or a failure. */
export type ExchangeEnd = ExchangeFailed | ExchangeFinished;

/** One HTTP request to a backend server and its answer. Reports its end exactly once. */
export class Exchange implements Dispatcher.DispatchHandler {
  private controller: Controller | undefined;
  private status = 0;
  private headers: Headers = [];
  private readonly parts: Buffer[] = [];
  private bytes = 0;
  /** Whether the end of the exchange has been reported. */
  private done = false;
  private abortReason: string | undefined;

  /** Creates the handler. `deadline` is monotonic time in milliseconds; the client aborts the exchange after it. */
  constructor(
    private readonly request: OpenExchange,
    readonly deadline: number,
    private readonly report: (event: ExchangeEnd) => void,
  ) {}

  /** Number of the exchange. */
  get exchange(): number {
    return this.request.exchange;
  }

  /** Aborts the exchange. If it had begun, the backend server may already have executed the request. */
  abort(reason: string): void {
    this.abortReason = reason;
    this.controller?.abort(new Error(reason));
    this.fail(reason);
  }

  /** @internal */
  onRequestStart(controller: Controller): void {
    this.controller = controller;
    // The exchange was aborted while it waited for a free connection, before its first byte.
    if (this.done) controller.abort(new Error(this.abortReason ?? 'aborted'));
  }

  /** @internal */
  onResponseStart(
    _controller: Controller,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < 200) return;
    this.status = status;
    this.headers = getForwardedHeaders(toRawHeaders(headers));
    if (this.request.method === 'HEAD' && typeof headers['content-length'] === 'string') {
      this.headers = [...this.headers, ['content-length', headers['content-length']]];
    }
  }

  /** @internal */
  onResponseData(_controller: Controller, part: Buffer): void {
    this.bytes += part.length;
    if (this.bytes > maxAnswerBodyBytes) return this.abort('answer-too-large');
    this.parts.push(part);
  }

  /** @internal */
  onResponseEnd(): void {
    if (this.done) return;
    this.done = true;
    const {parts, status, headers} = this;
    const body = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
    this.report({kind: 'exchange-finished', exchange: this.exchange, status, headers, body});
  }

  /** @internal */
  onResponseError(_controller: Controller, error: Error): void {
    this.fail((error as NodeJS.ErrnoException).code ?? error.message);
  }

  private fail(detail: string): void {
    if (this.done) return;
    this.done = true;
    // undici calls onRequestStart before it writes the first byte, so without it nothing was sent.
    const begun = this.controller !== undefined;
    this.report({kind: 'exchange-failed', exchange: this.exchange, begun, detail});
  }
}

function toRawHeaders(headers: Record<string, string | string[] | undefined>): string[] {
  const raw: string[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (typeof value === 'string') raw.push(name, value);
    else for (const item of value ?? []) raw.push(name, item);
  }
  return raw;
}
