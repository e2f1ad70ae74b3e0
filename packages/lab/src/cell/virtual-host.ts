import {
  AgentTasks,
  type AgentTasksEffect,
  type Announce,
  type AgentTasksEvent,
  type Heartbeat,
  type Hello,
  type Report,
  type SchedulerMessage,
} from '@chervilbeam/coordination';
import type {EventQueue} from './event-queue.js';
import {LatencyMeter, type LatencyModel} from './latency-meter.js';
import type {VirtualWorker} from './virtual-worker.js';

/** Name and location of a virtual host. */
export interface VirtualHostPlace {
  readonly name: string;
  readonly dataCentre: string;
  readonly rack: string;
}

/** Sends a message of an agent to one of its peers. */
export type SendToPeer = (peer: string, message: Report | Heartbeat) => void;

const agentTickIntervalMs = 500;
/** Delay of an agent's call to the worker. */
const workerCallDelayMs = 2;

/** Runs the real task reducer of an agent with a virtual worker, in virtual time. */
export class VirtualHost {
  /** Task reducer of the agent; replaced at each restart. */
  agent = new AgentTasks();
  /** Whether the host is down: nothing runs and nothing is sent. */
  isDown = false;
  /** Whether the agent announces that the host is draining. */
  isDraining = false;
  /** Incarnation of the agent, increased at each restart. */
  incarnation = 1;
  /** Increased at each start, so that the timers of earlier starts end. */
  private timerEpoch = 0;
  private readonly meter?: LatencyMeter;

  constructor(
    readonly place: VirtualHostPlace,
    readonly worker: VirtualWorker,
    private readonly queue: EventQueue,
    private readonly sendToPeer: SendToPeer,
    private readonly usageIntervalMs = 5_000,
    latency?: LatencyModel,
  ) {
    this.meter = latency && new LatencyMeter(latency);
  }

  /** Starts the timers for ticks, usage reports and latency samples, the first after `offsetMs`. */
  start(offsetMs: number): void {
    const epoch = (this.timerEpoch += 1);
    const isActive = () => !this.isDown && this.timerEpoch === epoch;
    this.queue.every(
      agentTickIntervalMs,
      () => isActive() && (this.handle({kind: 'tick'}), true),
      offsetMs,
    );
    this.queue.every(
      this.usageIntervalMs,
      () => isActive() && (this.handle({kind: 'worker-usage', usages: this.getUsages()}), true),
      offsetMs,
    );
    const {meter} = this;
    if (!meter) return;
    const sample = () => isActive() && (meter.sample(this.worker, this.queue.now), true);
    this.queue.every(1_000, sample, offsetMs);
  }

  /** Kills the host and all its tasks. */
  kill(): void {
    this.isDown = true;
    this.worker.tasks.clear();
  }

  /** Restarts the host without tasks and with a new incarnation. */
  restart(): void {
    this.isDown = false;
    this.incarnation += 1;
    this.agent = new AgentTasks();
    this.start(0);
  }

  /** Handles a message of a scheduler. */
  receive(peer: string, message: SchedulerMessage): void {
    this.handle({kind: 'message', peer, message});
  }

  /** Passes an event to the agent and executes its effects. */
  handle(event: AgentTasksEvent): void {
    if (this.isDown) return;
    for (const effect of this.agent.reduce(event, this.queue.now)) this.carryOut(effect);
  }

  /** Returns the handshake message of the agent. */
  getHello(): Hello {
    return {
      kind: 'hello',
      protocol: 1,
      deployment: 'virtual',
      role: 'agent',
      dataCentre: this.place.dataCentre,
      region: 'virtual',
      name: this.place.name,
      incarnation: this.incarnation,
      purpose: 'control',
      peers: [],
      configVersion: 0,
    };
  }

  /** Returns the capacity announcement of the agent. */
  getAnnounce(): Announce {
    return {
      kind: 'announce',
      host: this.place.name,
      rack: this.place.rack,
      capacity: this.worker.capacity,
      services: [],
      slots: this.worker.capacity.slots,
      connections: 64,
      draining: this.isDraining,
    };
  }

  private getUsages() {
    const at = this.queue.now;
    const usages = this.worker.getUsages(at);
    if (!this.meter) return usages;
    return usages.map(({task, attempt, usage}) => ({
      task,
      attempt,
      usage: this.meter?.addLatencyRatio(task, attempt, usage, at) ?? usage,
    }));
  }

  private carryOut(effect: AgentTasksEffect): void {
    const {queue, worker} = this;
    if (effect.kind === 'send') this.sendToPeer(effect.peer, effect.message);
    if (effect.kind === 'read-worker') {
      queue.after(workerCallDelayMs, () => {
        const {capacity, term} = worker;
        const tasks = worker.list(queue.now);
        const rack = this.place.rack;
        this.handle({kind: 'worker-state', capacity, rack, tasks, term});
      });
    }
    if (effect.kind === 'worker-call') {
      queue.after(workerCallDelayMs, () => {
        if (this.isDown) return;
        const {task, attempt, action} = effect;
        const result = worker.call(effect, queue.now);
        this.handle({kind: 'worker-result', task, attempt, action, ...result});
      });
    }
  }
}
