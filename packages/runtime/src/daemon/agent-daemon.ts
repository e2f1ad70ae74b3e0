import {
  AgentProcess,
  type AgentProcessEffect,
  type AgentProcessEvent,
  type BackendAnnounced,
  type Hello,
  type Resources,
} from '@chervilbeam/coordination';
import {getRequestIP} from 'h3';
import {Announcements, BackendClient} from '../backend/index.js';
import {ControlServer, readJsonBody} from '../http/index.js';
import type {Logger} from '../logs/index.js';
import {Loop, SystemClock} from '../loop/index.js';
import {PeerNetwork, protocolVersion} from '../peers/index.js';
import type {Settings} from '../settings/index.js';
import {WorkerClient} from '../worker/index.js';
import type {Daemon} from './daemon.js';
import {createIncarnation} from './incarnation.js';
import {ProcessMonitor} from './process-monitor.js';

/** Interval of the tick events that drive timeouts in the agent process. */
const tickIntervalMs = 10;
/** Interval between two reads of the resource usage of the worker's tasks. */
const usageReadIntervalMs = 1000;
/** Delay before the capacity is requested again from a worker that did not answer during the start. */
const workerRetryDelayMs = 500;
/** Capacity of a host without a worker, which serves requests but runs no tasks. */
const workerlessCapacity: Resources = {processors: 0, memoryMb: 0, accelerators: 0, slots: 8};

interface RunningProcess {
  readonly process: AgentProcess;
  readonly loop: Loop<AgentProcessEvent, AgentProcessEffect>;
}

/**
 * Daemon of the agent role: connects to entries, forwards requests to the backend servers of its host and runs tasks
 * on the worker.
 */
export class AgentDaemon implements Daemon {
  private readonly incarnation = createIncarnation();
  private readonly clock = new SystemClock();
  private readonly monitor: ProcessMonitor;
  private readonly control = new ControlServer();
  private readonly announcements = new Announcements(this.clock);
  private readonly backends: BackendClient;
  private readonly worker: WorkerClient | undefined;
  private readonly network: PeerNetwork;
  private readonly timers: NodeJS.Timeout[] = [];
  private running: RunningProcess | undefined;
  private stopping = false;
  /** Called when the agent process has finished all requests in flight. */
  private drained: (() => void) | undefined;

  /** Creates the daemon; `start` opens its sockets. */
  constructor(
    private readonly settings: Settings,
    private readonly logger: Logger,
  ) {
    this.monitor = new ProcessMonitor(settings.name, this.clock);
    const post = (event: AgentProcessEvent) => this.running?.loop.post(event);
    this.backends = new BackendClient(this.clock, post);
    this.worker = settings.worker ? new WorkerClient(settings.worker, post) : undefined;
    this.network = new PeerNetwork(
      {hello: () => this.createHello(), seeds: settings.seeds, clock: this.monitor},
      {
        controlUp: (peer, hello) => post({kind: 'control-up', peer, hello}),
        controlDown: peer => post({kind: 'control-down', peer}),
        peerUp: (peer, hello) => post({kind: 'peer-up', peer, hello}),
        peerDown: peer => post({kind: 'peer-down', peer}),
        message: (peer, channel, message, body) =>
          post({kind: 'message', peer, channel, message, ...(body && {body})}),
        refused: reason => this.monitor.metrics.count(`refused-${reason}`),
      },
    );
    this.addRoutes();
  }

  /**
   * Opens the control server. Connections to entries are opened only once the worker has answered, because the host
   * announces the capacity that the worker reports.
   */
  async start(): Promise<void> {
    await this.control.start(this.settings.listen.control);
    void this.startProcess();
    this.logger.info({listen: this.settings.listen}, 'agent started');
  }

  /** Finishes all requests in flight and closes all sockets. */
  async drain(): Promise<void> {
    this.logger.info('draining');
    this.stopping = true;
    if (this.running !== undefined) {
      const drained = new Promise<void>(resolve => (this.drained = resolve));
      this.running.loop.post({kind: 'drain'});
      await drained;
    }
    for (const timer of this.timers) clearInterval(timer);
    await this.network.stop();
    await this.backends.stop();
    await this.worker?.stop();
    await this.control.stop();
    this.logger.info('stopped');
  }

  private async startProcess(): Promise<void> {
    const host = await this.readHostResources();
    if (host === undefined) return;
    const {name, dataCentre, region} = this.settings;
    const {incarnation} = this;
    const seed = incarnation;
    const process = new AgentProcess({name, dataCentre, region, ...host, incarnation, seed});
    const loop = new Loop(process, this.clock, (effect: AgentProcessEffect) =>
      this.executeEffect(effect),
    );
    this.running = {process, loop};
    await this.network.start();
    this.timers.push(setInterval(() => this.tick(), tickIntervalMs));
    const {worker} = this;
    if (worker) this.timers.push(setInterval(() => void worker.readUsage(), usageReadIntervalMs));
  }

  private async readHostResources(): Promise<{capacity: Resources; rack: string} | undefined> {
    const {rack = ''} = this.settings;
    if (this.worker === undefined) return {capacity: workerlessCapacity, rack};
    while (!this.stopping) {
      const state = await this.worker.getState();
      if (state !== undefined) return {capacity: state.capacity, rack: state.rack};
      this.logger.warn('worker does not answer; retrying');
      await new Promise(resolve => setTimeout(resolve, workerRetryDelayMs));
    }
    return undefined;
  }

  private addRoutes(): void {
    const {app} = this.control;
    app.get('/v1/metrics', () => this.monitor.metrics.getSnapshot());
    app.get('/v1/status', () => this.getStatus());
    app.get('/v1/timeline', event => {
      const {searchParams} = event.url;
      const version = searchParams.get('version');
      const filter = {
        request: searchParams.get('request') ?? undefined,
        task: searchParams.get('task') ?? undefined,
        version: version === null ? undefined : Number(version),
      };
      return {events: this.monitor.getTimeline(filter)};
    });
    app.post('/v1/announce', async event => {
      // Only backend servers on the same host may announce themselves.
      if (!isLoopback(getRequestIP(event))) {
        event.res.status = 403;
        return {findings: ['announcements are accepted on loopback only']};
      }
      const announced = this.announcements.register(await readJsonBody(event.req));
      if ('findings' in announced) {
        event.res.status = 400;
        return {findings: announced.findings};
      }
      this.applyAnnouncement(announced);
      return {accepted: true};
    });
  }

  private tick(): void {
    for (const url of this.announcements.removeExpired()) {
      this.logger.warn({url}, 'backend server announcement expired');
      this.backends.removeBackend(url);
      this.running?.loop.post({kind: 'backend-lapsed', url});
    }
    this.running?.loop.post({kind: 'tick'});
  }

  private applyAnnouncement(announced: BackendAnnounced): void {
    this.backends.setBackend(announced.url, announced.connections);
    this.running?.loop.post(announced);
  }

  private executeEffect(effect: AgentProcessEffect): void {
    switch (effect.kind) {
      case 'send':
        if (!this.network.send(effect.peer, effect.channel, effect.message, effect.body)) {
          this.monitor.metrics.count('sends-without-peer');
        }
        return;
      case 'open-exchange':
        return this.backends.openExchange(effect);
      case 'abort-exchange':
        return this.backends.abortExchange(effect.exchange);
      case 'worker-call':
        return void this.worker?.call(effect);
      case 'read-worker':
        return void this.worker?.read();
      case 'drained':
        return this.drained?.();
      default:
        return this.monitor.executeEffect(effect);
    }
  }

  private createHello(): Hello {
    const {deployment, dataCentre, region, name, cell} = this.settings;
    return {
      kind: 'hello',
      protocol: protocolVersion,
      deployment,
      role: 'agent',
      dataCentre,
      region,
      name,
      incarnation: this.incarnation,
      purpose: 'control',
      peers: [],
      configVersion: this.running?.process.view.configuration.version ?? 0,
      ...(cell !== undefined && {cell}),
    };
  }

  private getStatus(): object {
    const {name, region, dataCentre, deployment} = this.settings;
    const version = this.running?.process.view.configuration.version ?? 0;
    const processes = this.network.getHellos().map(hello => ({
      name: hello.name,
      role: hello.role,
      dataCentre: hello.dataCentre,
      region: hello.region,
      version: hello.configVersion,
    }));
    const ownStatus = {name, role: 'agent', dataCentre, region, version};
    const tasks = this.running?.process.tasks.getAttempts().map(attempt => ({
      task: attempt.task,
      attempt: attempt.attempt,
      state: attempt.state,
    }));
    return {deployment, version, processes: [ownStatus, ...processes], tasks: tasks ?? []};
  }
}

function isLoopback(address: string | undefined): boolean {
  return address !== undefined && /^(::ffff:)?127\.|^::1$/.test(address);
}
