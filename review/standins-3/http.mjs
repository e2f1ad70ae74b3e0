import {Buffer} from 'node:buffer';
import console from 'node:console';
import {Agent, createServer, request as sendRequest} from 'node:http';

/** Splits `ip:port`. */
export function splitAddress(address) {
  const separator = address.lastIndexOf(':');
  return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}

/** Serves HTTP on `ip:port`; rejects when the address cannot be bound. */
export async function serveHttp(address, handle) {
  const server = createServer({keepAliveTimeout: 60_000}, (request, response) => {
    Promise.resolve(handle(request, response)).catch(error => {
      console.error(String(error?.stack ?? error));
      response.destroy();
    });
  });
  const {host, port} = splitAddress(address);
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

/** Reads a JSON body; an empty or unreadable one gives an empty object. */
export async function readJson(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  try {
    return JSON.parse(Buffer.concat(chunks).toString() || '{}');
  } catch {
    return {};
  }
}

/** Sends a JSON body, unless the connection has closed. */
export function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

const agent = new Agent({keepAlive: true, maxSockets: 16});

/** Sends a JSON call to `ip:port`; status 0 means that there was no complete answer. */
export function callJson(address, {method, path, headers = {}, body, timeoutMs = 3_000}) {
  const {host, port} = splitAddress(address);
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise(resolve => {
    const request = sendRequest(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: {
          ...(text !== undefined && {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(text),
          }),
          ...headers,
        },
        timeout: timeoutMs,
      },
      response => {
        readJson(response).then(
          value => resolve({status: response.statusCode, body: value, headers: response.headers}),
          error => resolve({status: 0, body: {}, headers: {}, error: String(error)}),
        );
      },
    );
    request.on('timeout', () => request.destroy(new Error('timeout')));
    request.on('error', error => resolve({status: 0, body: {}, headers: {}, error: error.message}));
    request.end(text);
  });
}

/** Closes the idle connections of `callJson`. */
export function closeCalls() {
  agent.destroy();
}
