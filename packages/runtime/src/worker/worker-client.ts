import {
  isRecord,
  type AgentProcessEvent,
  type AgentTasksEffect,
  type Resources,
  type Usage,
  workerCallTimeoutMs,
  type WorkerTask,
} from '@chervilbeam/coordination';
import {Pool} from 'undici';

/** Number of connections to the worker; further concurrent calls are queued. */
const connections = 4;

type WorkerCall = Extract<AgentTasksEffect, {readonly kind: 'worker-call'}>;

/** Answer of a worker to `GET /v1/worker`. */
export interface WorkerState {
  readonly capacity: Resources;
  readonly rack: string;
  readonly tasks: readonly WorkerTask[];
  readonly term: number;
}

interface WorkerAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Client of the HTTP API of the worker. Failures are posted as events; no call throws. */
export class WorkerClient {
  private readonly pool: Pool;

  /** Creates the client of the worker at `url`; results are posted as events. */
  constructor(
    url: string,
    private readonly post: (event: AgentProcessEvent) => void,
  ) {
    this.pool = new Pool(url, {connections, pipelining: 1});
  }

  /** Returns the capacity and the tasks of the worker, or undefined when it does not answer with status 200 and an object. */
  async getState(): Promise<WorkerState | undefined> {
    const answer = await this.exchange('GET', '/v1/worker');
    return answer?.status === 200 ? (answer.body as unknown as WorkerState) : undefined;
  }

  /** Reads the capacity and the tasks of the worker and posts them. */
  async read(): Promise<void> {
    const state = await this.getState();
    if (state === undefined) this.post({kind: 'worker-unreachable'});
    else this.post({kind: 'worker-state', ...state});
  }

  /** Reads the resource usage of all tasks and posts it; does nothing when the worker does not answer. */
  async readUsage(): Promise<void> {
    const answer = await this.exchange('GET', '/v1/usage');
    const usages = answer?.status === 200 ? answer.body.usages : undefined;
    if (!Array.isArray(usages)) return;
    this.post({
      kind: 'worker-usage',
      usages: usages as ReadonlyArray<{task: string; attempt: number; usage: Usage}>,
    });
  }

  /** Executes a call on one task and posts its result. */
  async call(call: WorkerCall): Promise<void> {
    const {task, attempt, action} = call;
    const answer = await this.sendTaskCall(call);
    // Stopping a task that the worker does not have succeeds, since nothing is left to stop.
    const ok = answer?.status === 200 || (action === 'stop' && answer?.status === 404);
    const checkpoint = answer?.body.checkpoint;
    const detail = answer === undefined ? 'no-answer' : answer.body.detail;
    this.post({
      kind: 'worker-result',
      task,
      attempt,
      action,
      ok,
      ...(typeof checkpoint === 'string' && {checkpoint}),
      ...(typeof detail === 'string' && {detail}),
    });
  }

  /** Closes all connections. */
  async stop(): Promise<void> {
    await this.pool.destroy();
  }

  private async sendTaskCall(call: WorkerCall): Promise<WorkerAnswer | undefined> {
    const {task, attempt, term, leaseMs, action} = call;
    const path = `/v1/tasks/${encodeURIComponent(task)}`;
    switch (action) {
      case 'start': {
        const {resources, workload, checkpoint} = call;
        const body = {attempt, term, leaseMs, resources, workload, checkpoint};
        return this.exchange('PUT', path, body);
      }
      case 'renew':
        return this.exchange('POST', `${path}/renew`, {attempt, term, leaseMs});
      case 'checkpoint':
        return this.exchange('POST', `${path}/checkpoint`, {attempt, term});
      case 'throttle':
        return this.exchange('POST', `${path}/throttle`, {attempt, term, fraction: call.fraction});
      case 'stop':
        return this.exchange('DELETE', `${path}?attempt=${attempt}&term=${term}`);
    }
  }

  private async exchange(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: object,
  ): Promise<WorkerAnswer | undefined> {
    try {
      const response = await this.pool.request({
        method,
        path,
        signal: AbortSignal.timeout(workerCallTimeoutMs),
        headers: body === undefined ? {} : {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
      });
      const text = await response.body.text();
      const content = text === '' ? {} : (JSON.parse(text) as unknown);
      return isRecord(content) ? {status: response.statusCode, body: content} : undefined;
    } catch {
      return undefined;
    }
  }
}
