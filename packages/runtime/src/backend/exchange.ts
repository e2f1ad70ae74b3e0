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

/** How an exchange ended. */
export type ExchangeEnd = ExchangeFailed | ExchangeFinished;

/** One exchange with a backend server. Reports exactly one end. */
export class Exchange implements Dispatcher.DispatchHandler {
  private controller: Controller | undefined;
  private status = 0;
  private headers: Headers = [];
  private readonly parts: Buffer[] = [];
  private bytes = 0;
  private done = false;
  private abortReason: string | undefined;

  /** Creates the handler of an exchange that ends at `deadline` at the latest. */
  constructor(
    private readonly open: OpenExchange,
    readonly deadline: number,
    private readonly report: (event: ExchangeEnd) => void,
  ) {}

  /** Number of the exchange. */
  get exchange(): number {
    return this.open.exchange;
  }

  /** Ends the exchange; the backend server may have run the request if it had begun. */
  abort(reason: string): void {
    this.abortReason = reason;
    this.controller?.abort(new Error(reason));
    this.fail(reason);
  }

  /** @internal */
  onRequestStart(controller: Controller): void {
    this.controller = controller;
    // The request waited for a free connection and was aborted before its first byte.
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
    this.headers = getForwardedHeaders(flatten(headers));
    if (this.open.method === 'HEAD' && typeof headers['content-length'] === 'string') {
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
    // undici calls onRequestStart before it writes the first byte.
    const begun = this.controller !== undefined;
    this.report({kind: 'exchange-failed', exchange: this.exchange, begun, detail});
  }
}

function flatten(headers: Record<string, string | string[] | undefined>): string[] {
  const raw: string[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (typeof value === 'string') raw.push(name, value);
    else for (const item of value ?? []) raw.push(name, item);
  }
  return raw;
}
