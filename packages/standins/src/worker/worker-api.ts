import {createServer, type Server} from 'node:http';
import {H3, type H3Event} from 'h3';
import {toNodeHandler} from 'h3/node';
import type {FailureModes} from './failure-modes.js';
import type {TaskAnswer, TaskStart, TaskTable} from './task-table.js';

/** The worker's HTTP API, with `POST /standin/failures` to ask for failures. */
export class WorkerApi {
  private readonly server: Server;

  /** Creates the server; `start` opens it. */
  constructor(
    private readonly table: TaskTable,
    private readonly failures: FailureModes,
  ) {
    const app = new H3();
    app.get('/v1/worker', () => table.getState(performance.now()));
    app.get('/v1/usage', () => table.getUsage(performance.now()));
    app.put('/v1/tasks/:id', async event =>
      toResponse(table.start(getTask(event), (await event.req.json()) as TaskStart, now())),
    );
    app.post('/v1/tasks/:id/:action', async event => {
      const body = (await event.req.json()) as Record<string, number>;
      return toResponse(this.act(getTask(event), event.context.params?.action ?? '', body));
    });
    app.delete('/v1/tasks/:id', event => {
      const {searchParams} = event.url;
      const attempt = Number(searchParams.get('attempt'));
      return toResponse(table.stop(getTask(event), attempt, Number(searchParams.get('term'))));
    });
    app.post('/standin/failures', async event => {
      Object.assign(this.failures, await event.req.json());
      return this.failures;
    });
    const handle = toNodeHandler(app);
    this.server = createServer((request, response) => {
      const asked = request.url?.startsWith('/standin/') ?? false;
      if (asked || !this.failures.hangWorker) void handle(request, response);
    });
  }

  /** Listens on `ip:port`. */
  async start(address: string): Promise<void> {
    const [host, port] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, resolve);
    });
  }

  /** Closes the server and its connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private act(task: string, action: string, body: Readonly<Record<string, number>>): TaskAnswer {
    const {attempt = 0, term = 0, leaseMs = 0, fraction = 1} = body;
    switch (action) {
      case 'renew':
        return this.table.renew(task, attempt, term, leaseMs, now());
      case 'checkpoint':
        return this.table.checkpoint(task, attempt, term, now());
      case 'throttle':
        return this.table.throttle(task, attempt, term, fraction, now());
      default:
        return {status: 404, body: {}};
    }
  }
}

function now(): number {
  return performance.now();
}

function getTask(event: H3Event): string {
  return decodeURIComponent(event.context.params?.id ?? '');
}

function toResponse({status, body}: TaskAnswer): Response {
  return Response.json(body, {status});
}
