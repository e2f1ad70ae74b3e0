import {createServer, type Server} from 'node:http';
import {H3, type H3Event} from 'h3';
import {toNodeHandler} from 'h3/node';
import type {FailureModes} from './failure-modes.js';
import type {TaskAnswer, TaskStart, TaskTable} from './task-table.js';

/** Stand-in for the worker's HTTP API, with `POST /standin/failures` to inject failures. */
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
      toResponse(table.start(getTaskId(event), (await event.req.json()) as TaskStart, getTimeMs())),
    );
    app.post('/v1/tasks/:id/:action', async event => {
      const body = (await event.req.json()) as Record<string, number>;
      return toResponse(this.runAction(getTaskId(event), event.context.params?.action ?? '', body));
    });
    app.delete('/v1/tasks/:id', event => {
      const {searchParams} = event.url;
      const attempt = Number(searchParams.get('attempt'));
      return toResponse(table.stop(getTaskId(event), attempt, Number(searchParams.get('term'))));
    });
    app.post('/standin/failures', async event => {
      Object.assign(this.failures, await event.req.json());
      return this.failures;
    });
    const handler = toNodeHandler(app);
    this.server = createServer((request, response) => {
      const isStandinRequest = request.url?.startsWith('/standin/') ?? false;
      if (isStandinRequest || !this.failures.hangWorker) void handler(request, response);
    });
  }

  /** Listens on `ip:port`. Rejects when the address cannot be bound. */
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

  private runAction(
    task: string,
    action: string,
    body: Readonly<Record<string, number>>,
  ): TaskAnswer {
    const {attempt = 0, term = 0, leaseMs = 0, fraction = 1} = body;
    switch (action) {
      case 'renew':
        return this.table.renew(task, attempt, term, leaseMs, getTimeMs());
      case 'checkpoint':
        return this.table.checkpoint(task, attempt, term, getTimeMs());
      case 'throttle':
        return this.table.throttle(task, attempt, term, fraction, getTimeMs());
      default:
        return {status: 404, body: {}};
    }
  }
}

function getTimeMs(): number {
  return performance.now();
}

function getTaskId(event: H3Event): string {
  return decodeURIComponent(event.context.params?.id ?? '');
}

function toResponse({status, body}: TaskAnswer): Response {
  return Response.json(body, {status});
}
