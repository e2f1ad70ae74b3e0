import {
  EntryProcess,
  type EntryProcessEffect,
  type EntryProcessEvent,
  type Hello,
} from '@chervilbeam/coordination';
import {addOperatorRoutes, OperatorService} from '../control/index.js';
import {CallerServer, ControlServer} from '../http/index.js';
import type {Logger} from '../logs/index.js';
import {Loop, SystemClock} from '../loop/index.js';
import {PeerNetwork, protocolVersion} from '../peers/index.js';
import type {EntrySettings} from '../settings/index.js';
import type {Daemon} from './daemon.js';
import {EntryOperatorBackend} from './entry-operator-backend.js';
import {EntryStore} from './entry-store.js';
import {createIncarnation} from './incarnation.js';
import {ProcessMonitor} from './process-monitor.js';

/** Interval of the tick events that drive timeouts in the entry process. */
const tickIntervalMs = 10;
/** Default time for which a draining entry still accepts requests that arrive late. */
const defaultSettleMs = 2000;

/** Daemon of the entry role: serves callers and operators over HTTP and connects to agents, entries and the store. */
export class EntryDaemon implements Daemon {
  private readonly incarnation = createIncarnation();
  private readonly clock = new SystemClock();
  private readonly monitor: ProcessMonitor;
  private readonly control = new ControlServer();
  private readonly callerServer: CallerServer;
  private readonly network: PeerNetwork;
  private readonly process: EntryProcess;
  private readonly operatorBackend: EntryOperatorBackend;
  private readonly store: EntryStore | undefined;
  private readonly loop: Loop<EntryProcessEvent, EntryProcessEffect>;
  private tickTimer: NodeJS.Timeout | undefined;
  /** Called when the entry process has finished all requests in flight. */
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
    this.loop = new Loop(this.process, clock, effect => this.executeEffect(effect));
    const post = (event: EntryProcessEvent) => this.loop.post(event);
    this.callerServer = new CallerServer({
      request: post,
      disconnected: caller => post({kind: 'caller-gone', caller}),
    });
    this.network = new PeerNetwork(
      {hello: () => this.createHello(), listen: listen.peers, seeds, clock: this.monitor},
      {
        controlUp: (peer, hello) => this.addPeer(peer, hello),
        controlDown: peer => this.removePeer(peer),
        peerUp: (peer, hello) => post({kind: 'peer-up', peer, hello}),
        peerDown: peer => post({kind: 'peer-down', peer}),
        message: (peer, channel, message, body) => {
          if (message.kind === 'heartbeat')
            this.operatorBackend.recordConfigVersion(peer, message.configVersion);
          post({kind: 'message', peer, channel, message, ...(body && {body})});
        },
        refused: reason => this.monitor.metrics.count(`refused-${reason}`),
      },
    );
    const ownEntry = {name, dataCentre, incarnation, address: listen.peers};
    this.store = settings.store
      ? new EntryStore(settings.store, ownEntry, post, logger)
      : undefined;
    this.operatorBackend = new EntryOperatorBackend({
      settings,
      incarnation,
      process: this.process,
      clock,
      monitor: this.monitor,
      post,
      getHellos: () => this.network.getHellos(),
    });
    addOperatorRoutes(this.control.app, new OperatorService(this.operatorBackend));
    this.control.app.get('/v1/metrics', () => this.monitor.metrics.getSnapshot());
  }

  /** Opens all sockets. Rejects when an address cannot be listened on. */
  async start(): Promise<void> {
    await this.network.start();
    await this.control.start(this.settings.listen.control);
    await this.callerServer.start(this.settings.listen.callers);
    this.store?.start();
    this.tickTimer = setInterval(
      () => this.loop.post({kind: 'tick', wallTimeMs: this.clock.wallTime()}),
      tickIntervalMs,
    );
    this.logger.info({listen: this.settings.listen}, 'entry started');
  }

  /** Finishes all requests in flight and closes all sockets. */
  async drain(): Promise<void> {
    this.logger.info({inFlight: this.callerServer.openRequestCount}, 'draining');
    this.callerServer.drain();
    const drained = new Promise<void>(resolve => (this.drained = resolve));
    this.loop.post({kind: 'drain'});
    await drained;
    await this.callerServer.stop();
    clearInterval(this.tickTimer);
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

  private executeEffect(effect: EntryProcessEffect): void {
    switch (effect.kind) {
      case 'send':
        if (!this.network.send(effect.peer, effect.channel, effect.message, effect.body)) {
          this.monitor.metrics.count('sends-without-peer');
        }
        return;
      case 'answer':
        return this.callerServer.answer(effect);
      case 'configuration-store':
        return this.store?.executeConfigurationCall(effect);
      case 'ownership-store':
        return void this.store?.executeOwnershipCall(effect);
      case 'ledger-store':
        return void this.store?.executeLedgerCall(effect);
      case 'confirmed': {
        const {request, outcome, changeId, version, difference} = effect;
        const answer = {
          outcome,
          changeId,
          ...(version && {version}),
          ...(difference && {difference}),
        };
        return this.operatorBackend.finishConfirmation(request, answer);
      }
      case 'finding':
        this.logger.warn(effect, 'finding about a workload');
        return this.operatorBackend.recordFinding(effect.workload, effect.reason);
      case 'drained':
        return this.drained?.();
      default:
        return this.monitor.executeEffect(effect);
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
