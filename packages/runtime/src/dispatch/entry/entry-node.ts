import type {Server, Socket} from 'node:net';
import {
  type AgentMessage,
  type EvacuationSet,
  EvacuationView,
  type OwnerMessage,
  type OwnerRecord,
  type QueueConfiguration,
} from '@chervilbeam/coordination';
import type {ConnectionGate} from '../../connections/connection-gate.js';
import {BacklogEncoder} from '../links/backlog-messages.js';
import type {
  AttemptState,
  EntryRequest,
  EntryResponse,
  SubmissionLookup,
} from '../links/entry-messages.js';
import {Link, type LinkHandlers, listenForLinks} from '../links/link.js';
import {TrafficMeter} from '../links/traffic-meter.js';
import {getOwnerLimits} from '../ownership/owner-limits.js';
import type {OwnerProcessOptions} from '../ownership/owner-process-options.js';
import {OwnerProcess} from '../ownership/owner-process.js';
import {ObservedStore} from '../records/observed-store.js';
import {StoreHealth} from '../records/store-health.js';
import type {SubmissionCall, SubmissionReply} from '../submissions/submission-calls.js';
import {type CallContext, SubmissionService} from '../submissions/submission-service.js';
import {EntryPeers} from './entry-peers.js';
import {LinkLimit} from './link-limit.js';
import {PeerHandoverCalls} from './peer-handover-calls.js';

/** Shortest and longest interval in milliseconds at which the owner publishes the queue backlogs to the other entries. */
const minBacklogIntervalMs = 300;
const maxBacklogIntervalMs = 900;
/** Size in bytes of one message with backlogs, with the headers of its TCP segment. */
const backlogMessageBytes = 250;
/** Share of the owner's link that the backlogs may use. */
const backlogLinkShare = 0.05;
const bytesPerMegabit = 125_000;

/** Options of `EntryNode`: those of its `OwnerProcess`, except the callbacks that the entry provides. */
export interface EntryNodeOptions extends Omit<
  OwnerProcessOptions,
  | 'getOtherProcessors'
  | 'getRoundTripMs'
  | 'askOwnershipEnd'
  | 'handoverCalls'
  | 'isStoreFailing'
  | 'onOwner'
  | 'onOwnership'
> {
  /** Address to listen on when it differs from the address at which others reach this entry. */
  readonly listenAddress?: string;
  /** Limits the links of others; without it, they are not limited. */
  readonly connections?: ConnectionGate;
}

type PeerLink = Link<EntryRequest | AgentMessage, EntryResponse | OwnerMessage>;

/** An entry: serves callers' requests and, while it is elected, owns the submissions. */
export class EntryNode {
  private readonly owner: OwnerProcess;
  private readonly service: SubmissionService;
  private readonly peers: EntryPeers;
  private readonly traffic: TrafficMeter;
  /** Links of the other entries, and whether the backlogs have been sent on each. */
  private readonly entryLinks = new Map<PeerLink, boolean>();
  private readonly backlogEncoder = new BacklogEncoder();
  private readonly links = new Set<PeerLink>();
  private readonly evacuations = new EvacuationView();
  private relayedCalls = 0;
  private ownerAddress: string | undefined;
  private server: Server | undefined;
  private backlogTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EntryNodeOptions) {
    const {clock, log, metrics, timing, heapBytes = Number.POSITIVE_INFINITY} = options;
    const health = new StoreHealth(clock);
    const store = new ObservedStore(options.store, health);
    this.traffic = new TrafficMeter(metrics, log);
    this.owner = new OwnerProcess({
      ...options,
      store,
      getOtherProcessors: () => this.peers.processors,
      getRoundTripMs: () => health.smallestRoundTripMs,
      isStoreFailing: () => health.isFailing,
      handoverCalls: new PeerHandoverCalls({
        getAddresses: () => this.peers.addresses,
        readEntries: () => this.peers.readEntries(),
        ask: (address, timeoutMs, create) => this.peers.ask(address, timeoutMs, create),
      }),
      askOwnershipEnd: owner => this.peers.askOwnershipEnd(owner),
      onOwner: owner => this.setOwner(owner),
      onOwnership: isOwner => this.countOwnershipChange(isOwner),
    });
    this.peers = new EntryPeers({
      ...options,
      store,
      traffic: this.traffic,
      getEvacuations: () => this.evacuations.current,
      onQueueBacklogs: backlogs => this.service.setQueueBacklogs(backlogs),
    });
    this.service = new SubmissionService({
      store,
      health,
      clock,
      log,
      metrics,
      maxAcceptedBytes: getOwnerLimits(heapBytes).maxAcceptedBytes,
      ...(timing?.scheduling && {scheduling: timing.scheduling}),
      peers: {
        askOwner: id => this.askOwner(id),
        countPending: queue => this.countPending(queue),
        notifyCancelled: id => {
          if (!this.owner.cancel(id)) this.peers.notifyCancelled(id);
        },
        getEntryCount: () => this.peers.addresses.length,
        findAttempt: id => this.peers.findAttempt(id),
        relay: (call, timeoutMs) => this.peers.relay(call, timeoutMs),
      },
    });
  }

  /** Whether this entry is the owner of the submissions. */
  get isOwner(): boolean {
    return this.owner.isOwner;
  }

  /** Listens for links of other processes and takes part in the election; rejects when it cannot listen. */
  async start(): Promise<void> {
    const {address, listenAddress = address} = this.options;
    this.server = await listenForLinks(listenAddress, socket => this.accept(socket));
    this.traffic.start();
    this.owner.start();
    this.peers.start();
    this.publishQueueBacklogs();
  }

  /** Applies a queue configuration. */
  configure(configuration: QueueConfiguration): void {
    this.service.configure(configuration);
    this.owner.configure(configuration);
  }

  /** Uses a set of evacuated data centres, and passes it on to the owner if it is newer than all before. */
  updateEvacuations(set: EvacuationSet): void {
    if (this.options.evacuations === undefined) return;
    if (this.evacuations.update(set) === 'older') return;
    this.owner.updateEvacuations(set);
    this.peers.sendEvacuations();
  }

  /** Executes a caller's call. */
  execute(call: SubmissionCall, context: CallContext): Promise<SubmissionReply> {
    return this.service.execute(call, context);
  }

  /**
   * Hands an ownership over to another entry, for at most `limitMs` milliseconds, or else gives it up; calls are still
   * served. Resolves when this is done.
   */
  drain(limitMs = 0): Promise<void> {
    return this.owner.drain(limitMs);
  }

  /** Stops listening and closes all links. */
  stop(): void {
    clearTimeout(this.backlogTimer);
    this.traffic.stop();
    this.owner.stop();
    this.peers.stop();
    this.server?.close();
    for (const link of this.links) link.end();
  }

  private accept(socket: Socket): void {
    let agent: string | undefined;
    const handlers: LinkHandlers<EntryRequest | AgentMessage> = {
      message: message => {
        if (message.kind === 'agent') {
          this.whenOwnershipSettled(() => {
            if (!this.links.has(link)) return;
            agent = this.acceptAgent(message.agent, link);
            if (agent !== undefined) limit?.identifyAgent();
          });
        } else if (agent !== undefined)
          this.owner.receive(agent, asAgentLink(link), message as AgentMessage);
        else this.handleEntryRequest(link, message as EntryRequest);
      },
      closed: reason => {
        limit?.close();
        this.links.delete(link);
        this.entryLinks.delete(link);
        if (agent === undefined) return;
        this.owner.removeAgent(agent, asAgentLink(link));
        this.options.log.log('agent-link-closed', {agent, reason});
      },
    };
    const limit = this.options.connections && new LinkLimit(this.options.connections);
    const link: PeerLink = new Link(socket, handlers, this.traffic, bytes =>
      limit?.setHeldBytes(bytes),
    );
    this.links.add(link);
    limit?.open(reason => link.destroy(reason));
  }

  /** An ownership that has been claimed begins within a few hundred milliseconds; until then an agent would come in vain. */
  private whenOwnershipSettled(act: () => void): void {
    const {begun} = this.owner;
    if (begun === undefined) act();
    else void begun.then(act);
  }

  private acceptAgent(agent: string, link: PeerLink): string | undefined {
    if (this.owner.addAgent(agent, asAgentLink(link), this.peers.addresses)) {
      this.options.log.log('agent-link-opened', {agent});
      return agent;
    }
    const {ownerAddress} = this;
    link.send({
      kind: 'elsewhere',
      entries: this.peers.addresses,
      ...(ownerAddress !== undefined && {address: ownerAddress}),
    });
    link.end();
    return undefined;
  }

  private handleEntryRequest(link: PeerLink, message: EntryRequest): void {
    switch (message.kind) {
      case 'entry':
        this.entryLinks.set(link, false);
        return;
      case 'query':
        link.send({kind: 'status', request: message.request, ...this.owner.lookUp(message.id)});
        return;
      case 'attempt': {
        link.send({
          kind: 'attempt-state',
          request: message.request,
          state: this.getAttempt(message.id),
        });
        return;
      }
      case 'ownership-end': {
        const {request, nonce} = message;
        const agoMs = this.owner.getOwnershipEndAge({nonce});
        link.send({kind: 'ownership-ended', request, ...(agoMs !== undefined && {agoMs})});
        return;
      }
      case 'count': {
        const {request, queue} = message;
        const pending = this.owner.countPending(queue);
        link.send({kind: 'pending', request, ...(pending !== undefined && {pending})});
        return;
      }
      case 'cancelled':
        if (this.owner.cancel(message.id)) link.send({kind: 'cancel-received', id: message.id});
        return;
      case 'evacuations': {
        const {revision, dataCentres} = message;
        return this.updateEvacuations({revision, dataCentres});
      }
      case 'handover-query': {
        const {request} = message;
        link.send({kind: 'handover-candidate', request, ...this.owner.handover.candidacy});
        return;
      }
      case 'handover-offer': {
        const {request, term, learned} = message;
        void this.owner.handover
          .take({term, learned})
          .then(reply => link.send({kind: 'handover-result', request, ...reply}));
        return;
      }
      case 'call':
        void this.executeRelayed(message.call).then(reply =>
          link.send({kind: 'reply', request: message.request, reply}),
        );
        if (link.isBehind) link.pauseUntilRead();
        return;
    }
  }

  /** Executes a call that another entry relays. When too many are in progress, it is refused without being executed. */
  private async executeRelayed(call: SubmissionCall): Promise<SubmissionReply> {
    if (this.relayedCalls >= maxRelayedCalls) {
      this.options.connections?.record('busy');
      return {kind: 'refused', retryAfterSeconds: 1, reason: 'memory'};
    }
    this.relayedCalls += 1;
    try {
      return await this.service.execute(call, {timeoutMs: relayedCallTimeoutMs, isRelayed: true});
    } finally {
      this.relayedCalls -= 1;
    }
  }

  private getAttempt(id: string): AttemptState {
    const state = this.service.getAttempt(id);
    return state === 'none' && this.peers.isStartRecent ? 'unresolved' : state;
  }

  private askOwner(id: string): Promise<SubmissionLookup | undefined> {
    if (this.owner.isOwner) return Promise.resolve(this.owner.lookUp(id));
    return this.peers.askOwner(id);
  }

  private countPending(queue: string): Promise<number | undefined> {
    if (this.owner.isOwner) return Promise.resolve(this.owner.countPending(queue));
    return this.peers.countPending(queue);
  }

  private publishQueueBacklogs(): void {
    this.backlogTimer = setTimeout(() => this.publishQueueBacklogs(), this.getBacklogIntervalMs());
    const backlogs = this.owner.getQueueBacklogs();
    if (backlogs === undefined) return;
    this.service.setQueueBacklogs(backlogs);
    const changes = this.backlogEncoder.update(backlogs);
    for (const [link, hasBacklogs] of this.entryLinks) {
      link.send(hasBacklogs ? changes : this.backlogEncoder.getSnapshot());
      this.entryLinks.set(link, true);
    }
  }

  /** Returns the time until the backlogs are published again: longer with many entries on a slow link. */
  private getBacklogIntervalMs(): number {
    const {linkMegabits = Number.POSITIVE_INFINITY} = this.options;
    const bytesPerMs = (linkMegabits * bytesPerMegabit * backlogLinkShare) / 1_000;
    const intervalMs = (this.entryLinks.size * backlogMessageBytes) / bytesPerMs;
    return Math.min(maxBacklogIntervalMs, Math.max(minBacklogIntervalMs, intervalMs));
  }

  private setOwner(owner: OwnerRecord | undefined): void {
    this.ownerAddress = owner?.address;
    this.options.log.log('owner-seen', {owner: owner?.name, address: owner?.address});
    this.peers.setOwner(owner?.address === this.options.address ? undefined : owner?.address);
  }

  private countOwnershipChange(isOwner: boolean): void {
    this.options.metrics.count(isOwner ? 'ownership_gained' : 'ownership_lost');
  }
}

/**
 * Largest number of relayed calls in progress. All calls of 10 entries, 12 a second, that take until their timeout are 240.
 */
const maxRelayedCalls = 500;

/** Timeout in milliseconds of a call that another entry relayed. */
const relayedCallTimeoutMs = 2_000;

function asAgentLink(link: PeerLink): Link<AgentMessage, OwnerMessage> {
  return link as unknown as Link<AgentMessage, OwnerMessage>;
}
