import {createServer, type Server} from 'node:http';
import {H3} from 'h3';
import {toNodeHandler} from 'h3/node';

/** Largest body of an operator's request. */
export const maxControlBodyBytes = 1024 * 1024;

/** Operators' HTTP server of a process. Routes are added to `app` before `start`. */
export class ControlServer {
  /** Routes of the server. */
  readonly app: H3 = new H3();
  private server: Server | undefined;

  /** Listens on `ip:port`. */
  async start(address: string): Promise<void> {
    const separator = address.lastIndexOf(':');
    const server = createServer(toNodeHandler(this.app));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
    });
  }

  /** Closes the server and its connections. */
  async stop(): Promise<void> {
    const {server} = this;
    if (server === undefined) return;
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeAllConnections();
    await closed;
  }
}

/** Reads a JSON body up to the limit; returns undefined when it is larger or not JSON. */
export async function readJsonBody(request: Request): Promise<unknown> {
  const declared = Number(request.headers.get('content-length') ?? 0);
  if (declared > maxControlBodyBytes) return undefined;
  const text = await request.text();
  if (text.length > maxControlBodyBytes) return undefined;
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
