import {
  AgentTasks,
  type AgentTasksEffect,
  type AgentTasksEvent,
  type WorkerTask,
} from '@chervilbeam/coordination';
import {SimulatedProcess, type ProcessOptions} from '../kernel/simulated-process.js';
import type {Endpoint, SimulatedNetwork} from '../kernel/simulated-network.js';
import type {SimulatedWorker} from '../kernel/simulated-worker.js';
import type {Simulation} from '../kernel/simulation.js';
import {createHello} from './hello.js';
import type {TaskMessage} from './task-entry.js';

/** Reducer of the tasks of an agent; tests substitute faulty ones. */
export interface TaskAgentReducer {
  reduce(event: AgentTasksEvent, at: number): readonly AgentTasksEffect[];
}

/** Creates the reducer when an agent starts. */
export type TaskAgentReducerFactory = (agent: TaskAgent) => TaskAgentReducer;

const workerReadTimeoutMs = 1_000;
const usageIntervalMs = 5_000;

/** Simulated agent that runs only the reducer `AgentTasks`, with the worker of its host. */
export class TaskAgent extends SimulatedProcess implements Endpoint<TaskMessage> {
  readonly #peers = new Set<string>();
  #reducer!: TaskAgentReducer;
  #lastUsageAt = 0;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<TaskMessage>,
    readonly worker: SimulatedWorker,
    private readonly createReducer: TaskAgentReducerFactory = () => new AgentTasks(),
  ) {
    super(simulation, options);
  }

  peerUp(peer: Endpoint<TaskMessage>): void {
    this.#peers.add(peer.name);
    const {capacity} = this.worker;
    this.network.send(this.name, peer.name, {
      kind: 'announce',
      host: this.name,
      rack: `rack-${this.name}`,
      capacity,
      services: [],
      slots: capacity.slots,
      connections: 64,
      draining: false,
    });
    this.#apply({kind: 'peer-up', peer: peer.name, hello: createHello(peer)});
  }

  peerDown(peer: string): void {
    this.#peers.delete(peer);
    this.#apply({kind: 'peer-down', peer});
  }

  receive(
    peer: string,
    message: TaskMessage,
    _body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void {
    switch (message.kind) {
      case 'grant':
      case 'start':
      case 'stop':
      case 'throttle':
      case 'acknowledge':
        return this.#apply({kind: 'message', peer, message}, beforeEffects);
      default:
    }
  }

  protected boot(): void {
    this.#peers.clear();
    this.#reducer = this.createReducer(this);
  }

  protected tick(): void {
    this.#apply({kind: 'tick'});
    if (this.simulation.now < this.#lastUsageAt + usageIntervalMs || !this.worker.isAlive) return;
    this.#lastUsageAt = this.simulation.now;
    const usages = [...this.worker.tasks.values()]
      .filter(task => task.state === 'running')
      .map(({task, attempt, resources: {processors, memoryMb}}) => {
        return {task, attempt, usage: {processors, memoryMb}};
      });
    this.#apply({kind: 'worker-usage', usages});
  }

  protected onEnd(): void {
    this.network.closeConnectionsOf(this.name);
  }

  #apply(event: AgentTasksEvent, beforeEffects?: () => void): void {
    const effects = this.#reducer.reduce(event, this.clock);
    this.executeEffects(effects, effect => this.#execute(effect), beforeEffects);
  }

  #execute(effect: AgentTasksEffect): void {
    switch (effect.kind) {
      case 'send':
        this.network.send(this.name, effect.peer, effect.message);
        break;
      case 'worker-call': {
        const {task, attempt, action} = effect;
        this.worker.call(this, effect, reply =>
          this.#apply({kind: 'worker-result', task, attempt, action, ...reply}),
        );
        break;
      }
      case 'read-worker':
        this.#readWorker();
        break;
      default:
    }
  }

  #readWorker(): void {
    const {worker, simulation} = this;
    simulation.schedule(1, () => {
      if (!worker.isAlive) {
        this.after(workerReadTimeoutMs, () => this.#apply({kind: 'worker-unreachable'}));
        return;
      }
      const {capacity, host, term} = worker;
      const tasks = [...worker.tasks.values()].map((task): WorkerTask => {
        const {attempt, workload, resources, state, checkpoint} = task;
        const leaseMs = Math.max(0, task.leaseEndsAt - simulation.now);
        return {task: task.task, attempt, workload, resources, state, checkpoint, leaseMs};
      });
      const state = {kind: 'worker-state', capacity, rack: `rack-${host}`, tasks, term} as const;
      this.after(1, () => this.#apply(state));
    });
  }
}
