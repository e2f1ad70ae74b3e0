import {request} from 'undici';

/** Options of a request to the control server of a process. */
export interface ControlCall {
  readonly method: 'GET' | 'POST';
  /** Body, sent as JSON. */
  readonly body?: unknown;
  readonly signal: AbortSignal;
}

/**
 * Sends a request to a control server and returns the status and the parsed JSON body; a body that is not JSON is
 * returned as `detail`, cut to 200 characters. Throws when no answer arrives. `fetch` is not used because it blocks
 * some ports.
 */
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
