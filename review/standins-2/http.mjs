import {Buffer} from 'node:buffer';
import {Agent, request as sendRequest} from 'node:http';

/** Reads the body of a request or response as JSON; undefined when it is empty or not JSON. */
export async function readJson(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  try {
    return JSON.parse(Buffer.concat(chunks).toString());
  } catch {
    return undefined;
  }
}

/** Sends a response with a JSON body. */
export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

const agent = new Agent({keepAlive: true, maxSockets: 64});

/** Sends a call and returns its status and body; status 0 means that there was no answer within `timeoutMs`. */
export function call({address, method, path, headers = {}, body, timeoutMs}) {
  const separator = address.lastIndexOf(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise(resolve => {
    const request = sendRequest(
      {
        agent,
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        method,
        path,
        headers: {
          ...(text !== '' && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          }),
          ...headers,
        },
        timeout: timeoutMs,
      },
      response => {
        readJson(response).then(
          value => resolve({status: response.statusCode, headers: response.headers, body: value}),
          () => resolve({status: 0}),
        );
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({status: 0}));
    request.end(text);
  });
}

/** Closes the connections that calls have left open. */
export function closeConnections() {
  agent.destroy();
}
