import type {Headers} from '@chervilbeam/coordination';

/** Headers that concern one connection only, or that the receiving side sets itself. */
const droppedNames: ReadonlySet<string> = new Set([
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

/** Returns the headers that travel on, from the alternating names and values that Node.js supplies. */
export function getForwardedHeaders(raw: ReadonlyArray<string | Buffer>): Headers {
  const headers: Array<readonly [string, string]> = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = String(raw[i]).toLowerCase();
    if (!droppedNames.has(name)) headers.push([name, toText(raw[i + 1])]);
  }
  return headers;
}

function toText(value: string | Buffer | undefined): string {
  return typeof value === 'string' ? value : (value?.toString('latin1') ?? '');
}
