import {request} from 'undici';

/** A call to the control port of a process. */
export interface ControlCall {
  readonly method: 'GET' | 'POST';
  /** Sent as JSON. */
  readonly body?: unknown;
  readonly signal: AbortSignal;
}

/** Calls a control port and returns the status and the parsed body. Not by `fetch`, which refuses some ports. */
export async function callControl(
  origin: string,
  path: string,
  call: ControlCall,
): Promise<{readonly status: number; readonly body: unknown}> {
  const hasBody = call.body !== undefined;
  const response = await request(new URL(path, origin), {
    method: call.method,
    signal: call.signal,
    headers: hasBody ? {'content-type': 'application/json'} : {},
    body: hasBody ? JSON.stringify(call.body) : undefined,
  });
  const text = await response.body.text();
  try {
    return {status: response.statusCode, body: JSON.parse(text) as unknown};
  } catch {
    return {status: response.statusCode, body: {detail: text.slice(0, 200)}};
  }
}
