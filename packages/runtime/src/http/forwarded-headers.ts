import type {Headers} from '@chervilbeam/coordination';

/** Headers that are not forwarded: hop-by-hop headers, and headers that the receiving side sets itself. */
const droppedHeaderNames: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'date',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'chervilbeam-idempotent',
  'chervilbeam-outcome',
  'chervilbeam-timeout-ms',
]);

/** Returns the headers to forward; `raw` holds names and values in turn, as in `rawHeaders` of Node.js. */
export function getForwardedHeaders(raw: ReadonlyArray<string | Buffer>): Headers {
  const headers: Array<readonly [string, string]> = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = String(raw[i]).toLowerCase();
    if (!droppedHeaderNames.has(name)) headers.push([name, toText(raw[i + 1])]);
  }
  return headers;
}

function toText(value: string | Buffer | undefined): string {
  return typeof value === 'string' ? value : (value?.toString('latin1') ?? '');
}
