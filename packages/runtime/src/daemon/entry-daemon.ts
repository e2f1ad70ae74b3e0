import {
  EntryProcess,
  type EntryProcessEffect,
  type EntryProcessEvent,
  type Hello,
} from '@chervilbeam/coordination';
import {addOperatorRoutes, OperatorService} from '../control/index.js';
import {CallerFront, ControlServer} from '../http/index.js';
import type {Logger} from '../logs/index.js';
import {Loop, SystemClock} from '../loop/index.js';
import {PeerNetwork, protocolVersion} from '../peers/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {Daemon} from './daemon.js';
import {EntryOperators} from './entry-operators.js';
import {EntryStore} from './entry-store.js';
import {createIncarnation} from './incarnation.js';
import {ProcessMonitor} from './process-monitor.js';

/** Time between two ticks of the loop. */
const tickMs = 10;
const defaultSettleMs = 2000;

/** The entry role: callers' HTTP, connections to agents and entries, the store, and operators' HTTP. */
export class EntryDaemon implements Daemon {
  private readonly incarnation = createIncarnation();
  private readonly clock = new SystemClock();
  private readonly monitor: ProcessMonitor;
  private readonly control = new ControlServer();
  private readonly front: CallerFront;
  private readonly network: PeerNetwork;
  private readonly process: EntryProcess;
  private readonly operators: EntryOperators;
  private readonly store: EntryStore | undefined;
  private readonly loop: Loop<EntryProcessEvent, EntryProcessEffect>;
  private timer: NodeJS.Timeout | undefined;
  private drained: (() => void) | undefined;

  /** Creates the daemon; `start` opens its sockets. */
  constructor(
    private readonly settings: EntrySettings,
    private readonly logger: Logger,
  ) {
    const {name, dataCentre, region, listen, seeds, cells = [], settleMs} = settings;
    const {incarnation, clock} = this;
    this.monitor = new ProcessMonitor(name, clock);
    this.process = new EntryProcess({
      name,
      dataCentre,
      region,
      incarnation,
      startedAt: clock.now(),
      seed: incarnation,
      cells: settings.store === undefined ? [] : cells,
      settleMs: settleMs ?? defaultSettleMs,
    });
    this.loop = new Loop(this.process, clock, effect => this.carryOut(effect));
    const post = (event: EntryProcessEvent) => this.loop.post(event);
    this.front = new CallerFront({
      request: post,
      gone: caller => post({kind: 'caller-gone', caller}),
    });
    this.network = new PeerNetwork(
      {hello: () => this.createHello(), listen: listen.peers, seeds, clock: this.monitor},
      {
        controlUp: (peer, hello) => this.addPeer(peer, hello),
        controlDown: peer => this.removePeer(peer),
        peerUp: (peer, hello) => post({kind: 'peer-up', peer, hello}),
        peerDown: peer => post({kind: 'peer-down', peer}),
        message: (peer, channel, message, body) => {
          if (message.kind === 'heartbeat') this.operators.noteVersion(peer, message.configVersion);
          post({kind: 'message', peer, channel, message, ...(body && {body})});
        },
        refused: reason => this.monitor.metrics.count(`refused-${reason}`),
      },
    );
    const own = {name, dataCentre, incarnation, address: listen.peers};
    this.store = settings.store ? new EntryStore(settings.store, own, post, logger) : undefined;
    this.operators = new EntryOperators({
      settings,
      incarnation,
      process: this.process,
      clock,
      monitor: this.monitor,
      post,
      getHellos: () => this.network.getHellos(),
    });
    addOperatorRoutes(this.control.app, new OperatorService(this.operators));
    this.control.app.get('/v1/metrics', () => this.monitor.metrics.getSnapshot());
  }

  /** Opens all sockets. */
  async start(): Promise<void> {
    await this.network.start();
    await this.control.start(this.settings.listen.control);
    await this.front.start(this.settings.listen.callers);
    this.store?.start();
    this.timer = setInterval(
      () => this.loop.post({kind: 'tick', wallTimeMs: this.clock.wallTime()}),
      tickMs,
    );
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
    await this.store?.stop();
    await this.control.stop();
    this.logger.info('stopped');
  }

  private addPeer(peer: string, hello: Hello): void {
    this.logger.info({peer, role: hello.role}, 'peer connected');
    this.loop.post({kind: 'control-up', peer, hello});
  }

  private removePeer(peer: string): void {
    this.logger.info({peer}, 'peer connection lost');
    this.loop.post({kind: 'control-down', peer});
  }

  private carryOut(effect: EntryProcessEffect): void {
    switch (effect.kind) {
      case 'send':
        if (!this.network.send(effect.peer, effect.channel, effect.message, effect.body)) {
          this.monitor.metrics.count('sends-without-peer');
        }
        return;
      case 'answer':
        return this.front.answer(effect);
      case 'configuration-store':
        return this.store?.configure(effect);
      case 'ownership-store':
        return void this.store?.own(effect);
      case 'ledger-store':
        return void this.store?.keepLedger(effect);
      case 'confirmed': {
        const {request, outcome, changeId, version, difference} = effect;
        const answer = {
          outcome,
          changeId,
          ...(version && {version}),
          ...(difference && {difference}),
        };
        return this.operators.finishConfirmation(request, answer);
      }
      case 'finding':
        this.logger.warn(effect, 'finding about a workload');
        return this.operators.noteFinding(effect.workload, effect.reason);
      case 'drained':
        return this.drained?.();
      default:
        return this.monitor.take(effect);
    }
  }

  private createHello(): Hello {
    const {deployment, dataCentre, region, name} = this.settings;
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
      peers: this.network.getKnownAddresses(),
      configVersion: this.process.view.configuration.version,
    };
  }
}
