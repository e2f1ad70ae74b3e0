import type {Server, Socket} from 'node:net';
import type {
  AgentMessage,
  OwnerMessage,
  OwnerRecord,
  QueueConfiguration,
} from '@chervilbeam/coordination';
import type {EntryRequest, EntryResponse, SubmissionLookup} from './entry-messages.js';
import {EntryPeers} from './entry-peers.js';
import {Link, listenForLinks} from './link.js';
import {OwnerProcess, type OwnerProcessOptions} from './owner-process.js';
import type {SubmissionCall, SubmissionReply} from './submission-calls.js';
import {type CallContext, SubmissionService} from './submission-service.js';

/** Interval in milliseconds at which the owner publishes the queue backlogs to the other entries. */
const backlogIntervalMs = 300;

/** Options of `EntryNode`: those of its `OwnerProcess`, except the callbacks that the entry provides. */
export interface EntryNodeOptions extends Omit<
  OwnerProcessOptions,
  'getOtherProcessors' | 'onOwner' | 'onOwnership'
> {
  /** Address to listen on when it differs from the address at which others reach this entry. */
  readonly listenAddress?: string;
}

type PeerLink = Link<EntryRequest | AgentMessage, EntryResponse | OwnerMessage>;

/** An entry: serves callers' requests and, while it is elected, owns the submissions. */
export class EntryNode {
  private readonly owner: OwnerProcess;
  private readonly service: SubmissionService;
  private readonly peers: EntryPeers;
  private readonly entryLinks = new Set<PeerLink>();
  private readonly links = new Set<PeerLink>();
  private ownerAddress: string | undefined;
  private server: Server | undefined;
  private backlogTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EntryNodeOptions) {
    const {store, clock, log, metrics} = options;
    this.owner = new OwnerProcess({
      ...options,
      getOtherProcessors: () => this.peers.processors,
      onOwner: owner => this.setOwner(owner),
      onOwnership: isOwner => this.countOwnershipChange(isOwner),
    });
    this.peers = new EntryPeers({
      ...options,
      onQueueBacklogs: levels => this.service.setQueueBacklogs(levels),
    });
    this.service = new SubmissionService({
      store,
      clock,
      log,
      metrics,
      peers: {
        askOwner: id => this.askOwner(id),
        notifyCancelled: id => {
          if (this.owner.isOwner) this.owner.cancel(id);
          else this.peers.notifyCancelled(id);
        },
        getEntryCount: () => this.peers.addresses.length,
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
    this.owner.start();
    this.peers.start();
    this.backlogTimer = setInterval(() => this.publishQueueBacklogs(), backlogIntervalMs);
  }

  /** Applies a queue configuration. */
  configure(configuration: QueueConfiguration): void {
    this.service.configure(configuration);
    this.owner.configure(configuration);
  }

  /** Executes a caller's call. */
  execute(call: SubmissionCall, context: CallContext): Promise<SubmissionReply> {
    return this.service.execute(call, context);
  }

  /** Gives up the ownership; calls are still served. */
  drain(): void {
    this.owner.drain();
  }

  /** Stops listening and closes all links. */
  stop(): void {
    clearInterval(this.backlogTimer);
    this.peers.stop();
    this.server?.close();
    for (const link of this.links) link.end();
  }

  private accept(socket: Socket): void {
    let agent: string | undefined;
    const link: PeerLink = new Link(socket, {
      message: message => {
        if (message.kind === 'agent') agent = this.acceptAgent(message.agent, link);
        else if (agent !== undefined)
          this.owner.receive(agent, asAgentLink(link), message as AgentMessage);
        else this.handleEntryRequest(link, message as EntryRequest);
      },
      closed: reason => {
        this.links.delete(link);
        this.entryLinks.delete(link);
        if (agent === undefined) return;
        this.owner.removeAgent(agent, asAgentLink(link));
        this.options.log.log('agent-link-closed', {agent, reason});
      },
    });
    this.links.add(link);
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
        this.entryLinks.add(link);
        return;
      case 'query':
        link.send({kind: 'status', request: message.request, ...this.owner.lookUp(message.id)});
        return;
      case 'cancelled':
        this.owner.cancel(message.id);
        return;
      case 'call':
        void this.service
          .execute(message.call, {timeoutMs: relayedCallTimeoutMs, isRelayed: true})
          .then(reply => link.send({kind: 'reply', request: message.request, reply}));
        return;
    }
  }

  private askOwner(id: string): Promise<SubmissionLookup | undefined> {
    if (this.owner.isOwner) return Promise.resolve(this.owner.lookUp(id));
    return this.peers.askOwner(id);
  }

  private publishQueueBacklogs(): void {
    if (!this.owner.isOwner) return;
    const levels = this.owner.getQueueBacklogs();
    this.service.setQueueBacklogs(levels);
    for (const link of this.entryLinks) link.send({kind: 'levels', levels});
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

/** Timeout in milliseconds of a call that another entry relayed. */
const relayedCallTimeoutMs = 2_000;

function asAgentLink(link: PeerLink): Link<AgentMessage, OwnerMessage> {
  return link as unknown as Link<AgentMessage, OwnerMessage>;
}
