import {
  type ControlMessage,
  type DataMessage,
  EntryProcess,
  type EntryRequestsEffect,
  type EntryRequestsEvent,
  type Hello,
} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';
import {CallerFront, ControlServer} from '../http/index.js';
import type {Logger} from '../logs/index.js';
import {Loop, SystemClock} from '../loop/index.js';
import {Metrics} from '../metrics/index.js';
import {PeerNetwork, protocolVersion} from '../peers/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {Daemon} from './daemon.js';
import {createIncarnation} from './incarnation.js';

/** Time between two ticks of the loop. */
const tickMs = 10;

/** The entry role: callers' HTTP, connections to agents and entries, and operators' HTTP. */
export class EntryDaemon implements Daemon {
  private readonly incarnation = createIncarnation();
  private readonly clock = new SystemClock();
  private readonly metrics = new Metrics();
  private readonly control = new ControlServer();
  private readonly front: CallerFront;
  private readonly network: PeerNetwork;
  private readonly loop: Loop<EntryRequestsEvent, EntryRequestsEffect>;
  private readonly entryPeers = new Set<string>();
  private timer: NodeJS.Timeout | undefined;
  private drained: (() => void) | undefined;

  /** Creates the daemon; `start` opens its sockets. */
  constructor(
    private readonly settings: EntrySettings,
    private readonly logger: Logger,
  ) {
    const process = new EntryProcess({incarnation: this.incarnation});
    this.loop = new Loop(process, this.clock, effect => this.carryOut(effect));
    this.front = new CallerFront({
      request: request => this.loop.post(request),
      gone: caller => this.loop.post({kind: 'caller-gone', caller}),
    });
    this.network = new PeerNetwork(
      {
        hello: peer => this.createHello(peer),
        listen: settings.listen.peers,
        seeds: settings.seeds,
      },
      {
        peerUp: (peer, hello) => this.addPeer(peer, hello),
        peerDown: peer => this.removePeer(peer),
        message: (peer, message, body) => this.receive(peer, message, body),
        refused: reason => this.metrics.count(`refused-${reason}`),
      },
    );
    this.control.app.get('/v1/metrics', () => this.metrics.getSnapshot());
    this.control.app.get('/v1/status', () => this.getStatus());
  }

  /** Opens all sockets. */
  async start(): Promise<void> {
    await this.network.start();
    await this.control.start(this.settings.listen.control);
    await this.front.start(this.settings.listen.callers);
    this.timer = setInterval(() => this.loop.post({kind: 'tick'}), tickMs);
    this.logger.info({listen: this.settings.listen}, 'entry started');
  }

  /** Finishes all requests in flight and closes everything. */
  async drain(): Promise<void> {
    this.logger.info({inFlight: this.front.openCount}, 'draining');
    this.front.drain();
    const drained = new Promise<void>(resolve => (this.drained = resolve));
    this.loop.post({kind: 'drain'});
    await drained;
    await this.front.stop();
    clearInterval(this.timer);
    await this.network.stop();
    await this.control.stop();
    this.logger.info('stopped');
  }

  private addPeer(peer: string, hello: Hello): void {
    this.logger.info({peer, role: hello.role}, 'peer connected');
    if (hello.role === 'entry') this.entryPeers.add(peer);
    this.loop.post({kind: 'peer-up', peer, hello});
  }

  private removePeer(peer: string): void {
    this.logger.info({peer}, 'peer connection lost');
    this.entryPeers.delete(peer);
    this.loop.post({kind: 'peer-down', peer});
  }

  private receive(peer: string, message: PeerMessage, body?: Uint8Array): void {
    switch (message.kind) {
      case 'announce':
        return this.loop.post({kind: 'announce', peer, message});
      case 'heartbeat':
        return this.loop.post({kind: 'heartbeat', peer, message});
      case 'summary':
        return this.loop.post({kind: 'summary', peer, message});
      default:
        if ('id' in message) this.loop.post({kind: 'message', peer, message, ...(body && {body})});
        else this.metrics.count('refused-unexpected-kind');
    }
  }

  private carryOut(effect: EntryRequestsEffect): void {
    switch (effect.kind) {
      case 'send':
        return this.send(effect.peer, effect.message, effect.body);
      case 'answer':
        return this.front.answer(effect);
      case 'summary':
        for (const peer of this.entryPeers) this.send(peer, effect.message);
        return;
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

  private send(peer: string, message: DataMessage | ControlMessage, body?: Uint8Array): void {
    if (!this.network.send(peer, message, body)) this.metrics.count('sends-without-peer');
  }

  private createHello(peer?: Hello): Hello {
    const {deployment, dataCentre, region, name} = this.settings;
    // Agents connect within their region only.
    const peers = this.network.getKnownAddresses(peer?.role === 'agent' ? region : undefined);
    return {
      kind: 'hello',
      protocol: protocolVersion,
      deployment,
      role: 'entry',
      dataCentre,
      region,
      name,
      incarnation: this.incarnation,
      purpose: 'control',
      peers,
      configVersion: 0,
    };
  }

  private getStatus(): object {
    const {name, region, dataCentre, deployment} = this.settings;
    const peers = this.network.getNames();
    return {role: 'entry', deployment, name, region, dataCentre, peers};
  }
}
