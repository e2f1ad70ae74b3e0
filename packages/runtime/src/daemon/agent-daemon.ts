import {
  type AgentExchangesEffect,
  type AgentExchangesEvent,
  AgentProcess,
  type BackendAnnounced,
  type Hello,
} from '@chervilbeam/coordination';
import {Announcements, BackendClient} from '../backend/index.js';
import type {PeerMessage} from '../framing/index.js';
import {ControlServer, readJsonBody} from '../http/index.js';
import type {Logger} from '../logs/index.js';
import {Loop, SystemClock} from '../loop/index.js';
import {Metrics} from '../metrics/index.js';
import {PeerNetwork, protocolVersion} from '../peers/index.js';
import type {Settings} from '../settings/index.js';
import type {Daemon} from './daemon.js';
import {createIncarnation} from './incarnation.js';

/** Time between two ticks of the loop. */
const tickMs = 10;

/** The agent role: connections to entries, exchanges with the backend server, announcements. */
export class AgentDaemon implements Daemon {
  private readonly incarnation = createIncarnation();
  private readonly clock = new SystemClock();
  private readonly metrics = new Metrics();
  private readonly control = new ControlServer();
  private readonly announcements = new Announcements(this.clock);
  private readonly backends: BackendClient;
  private readonly network: PeerNetwork;
  private readonly loop: Loop<AgentExchangesEvent, AgentExchangesEffect>;
  private timer: NodeJS.Timeout | undefined;
  private drained: (() => void) | undefined;

  /** Creates the daemon; `start` opens its sockets. */
  constructor(
    private readonly settings: Settings,
    private readonly logger: Logger,
  ) {
    const process = new AgentProcess({host: settings.name, rack: settings.rack ?? ''});
    this.loop = new Loop(process, this.clock, effect => this.carryOut(effect));
    this.backends = new BackendClient(this.clock, event => this.loop.post(event));
    this.network = new PeerNetwork(
      {hello: () => this.createHello(), seeds: settings.seeds},
      {
        peerUp: (peer, hello) => this.loop.post({kind: 'peer-up', peer, hello}),
        peerDown: peer => this.loop.post({kind: 'peer-down', peer}),
        message: (peer, message, body) => this.receive(peer, message, body),
        refused: reason => this.metrics.count(`refused-${reason}`),
      },
    );
    this.control.app.get('/v1/metrics', () => this.metrics.getSnapshot());
    this.control.app.get('/v1/status', () => this.getStatus());
    this.control.app.post('/v1/announce', async event => {
      const announced = this.announcements.take(await readJsonBody(event.req));
      if ('findings' in announced) {
        event.res.status = 400;
        return {findings: announced.findings};
      }
      this.takeAnnouncement(announced);
      return {validMs: 3000};
    });
  }

  /** Opens all sockets. */
  async start(): Promise<void> {
    await this.control.start(this.settings.listen.control);
    await this.network.start();
    this.timer = setInterval(() => this.tick(), tickMs);
    this.logger.info({listen: this.settings.listen}, 'agent started');
  }

  /** Finishes all requests in flight and closes everything. */
  async drain(): Promise<void> {
    this.logger.info('draining');
    const drained = new Promise<void>(resolve => (this.drained = resolve));
    this.loop.post({kind: 'drain'});
    await drained;
    clearInterval(this.timer);
    await this.network.stop();
    await this.backends.stop();
    await this.control.stop();
    this.logger.info('stopped');
  }

  private tick(): void {
    for (const url of this.announcements.takeLapsed()) {
      this.logger.warn({url}, 'announcement of a backend server has lapsed');
      this.backends.removeBackend(url);
      this.loop.post({kind: 'backend-lapsed', url});
    }
    this.loop.post({kind: 'tick'});
  }

  private takeAnnouncement(announced: BackendAnnounced): void {
    this.backends.setBackend(announced.url, announced.connections);
    this.loop.post(announced);
  }

  private receive(peer: string, message: PeerMessage, body?: Uint8Array): void {
    if ('id' in message) this.loop.post({kind: 'message', peer, message, ...(body && {body})});
    else this.metrics.count('refused-unexpected-kind');
  }

  private carryOut(effect: AgentExchangesEffect): void {
    switch (effect.kind) {
      case 'send':
        if (!this.network.send(effect.peer, effect.message, effect.body)) {
          this.metrics.count('sends-without-peer');
        }
        return;
      case 'announce':
        for (const peer of this.network.getNames()) this.network.send(peer, effect.message);
        return;
      case 'open-exchange':
        return this.backends.openExchange(effect);
      case 'abort-exchange':
        return this.backends.abortExchange(effect.exchange);
      case 'count':
        return this.metrics.count(effect.name, effect.by);
      case 'observe':
        return this.metrics.observe(effect.name, effect.valueMs);
      case 'drained':
        this.drained?.();
        return;
      case 'record':
        return;
    }
  }

  private createHello(): Hello {
    const {deployment, dataCentre, region, name} = this.settings;
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
      configVersion: 0,
    };
  }

  private getStatus(): object {
    const {name, region, dataCentre, deployment} = this.settings;
    const peers = this.network.getNames();
    return {role: 'agent', deployment, name, region, dataCentre, peers};
  }
}
