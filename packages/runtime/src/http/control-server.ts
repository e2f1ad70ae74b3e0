import {createServer, type Server} from 'node:http';
import {H3} from 'h3';
import {toNodeHandler} from 'h3/node';

/** Largest body of a request to the control server. */
export const maxControlBodyBytes = 1024 * 1024;

/** HTTP server of a process for operators and, at agents, backend servers. Add routes to `app` before `start`. */
export class ControlServer {
  /** Routes of the server. */
  readonly app: H3 = new H3();
  private server: Server | undefined;

  /** Listens on `ip:port`. Rejects when the address cannot be listened on. */
  async start(address: string): Promise<void> {
    const separator = address.lastIndexOf(':');
    const server = createServer(toNodeHandler(this.app));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
    });
  }

  /** Stops listening and closes all connections at once. */
  async stop(): Promise<void> {
    const {server} = this;
    if (server === undefined) return;
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeAllConnections();
    await closed;
  }
}

/** Reads and parses a JSON body; returns undefined when it exceeds `maxControlBodyBytes` or is not JSON. */
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
