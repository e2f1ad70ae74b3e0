import {
  type AgentProcessEvent,
  type AgentTasksEffect,
  type Resources,
  type Usage,
  workerCallLimitMs,
  type WorkerTask,
} from '@chervilbeam/coordination';
import {Pool} from 'undici';

/** Connections to the worker; calls beyond them wait. */
const connections = 4;

type WorkerCall = Extract<AgentTasksEffect, {readonly kind: 'worker-call'}>;

/** Answer of a worker to `GET /v1/worker`. */
export interface WorkerState {
  readonly capacity: Resources;
  readonly rack: string;
  readonly tasks: readonly WorkerTask[];
  readonly term: number;
}

interface Answer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Client of the worker's HTTP API. Every failure becomes an event; no call throws. */
export class WorkerClient {
  private readonly pool: Pool;

  /** Creates a client that posts results to `post`. */
  constructor(
    url: string,
    private readonly post: (event: AgentProcessEvent) => void,
  ) {
    this.pool = new Pool(url, {connections, pipelining: 1});
  }

  /** Returns capacity and tasks of the worker, or undefined when it does not answer. */
  async getState(): Promise<WorkerState | undefined> {
    const answer = await this.exchange('GET', '/v1/worker');
    return answer?.status === 200 ? (answer.body as unknown as WorkerState) : undefined;
  }

  /** Reads capacity and tasks. */
  async read(): Promise<void> {
    const state = await this.getState();
    if (state === undefined) this.post({kind: 'worker-unreachable'});
    else this.post({kind: 'worker-state', ...state});
  }

  /** Reads the usage of all tasks. */
  async readUsage(): Promise<void> {
    const answer = await this.exchange('GET', '/v1/usage');
    const usages = answer?.status === 200 ? answer.body.usages : undefined;
    if (!Array.isArray(usages)) return;
    this.post({
      kind: 'worker-usage',
      usages: usages as ReadonlyArray<{task: string; attempt: number; usage: Usage}>,
    });
  }

  /** Carries out a call on one task. */
  async call(call: WorkerCall): Promise<void> {
    const {task, attempt, action} = call;
    const answer = await this.send(call);
    // A worker that does not have the task has nothing left to stop.
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

  private async send(call: WorkerCall): Promise<Answer | undefined> {
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
  ): Promise<Answer | undefined> {
    try {
      const response = await this.pool.request({
        method,
        path,
        signal: AbortSignal.timeout(workerCallLimitMs),
        headers: body === undefined ? {} : {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
      });
      const text = await response.body.text();
      const content = text === '' ? {} : (JSON.parse(text) as Answer['body']);
      return {status: response.statusCode, body: content};
    } catch {
      return undefined;
    }
  }
}
