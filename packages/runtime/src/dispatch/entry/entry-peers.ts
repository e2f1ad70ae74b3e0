import type {Clock, EvacuationSet, OwnerRecord, QueueBacklogs} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import {BacklogDecoder} from '../links/backlog-messages.js';
import type {
  AttemptState,
  EntryRequest,
  EntryResponse,
  SubmissionLookup,
} from '../links/entry-messages.js';
import {dialLink, type Link, type LinkHandlers} from '../links/link.js';
import type {TrafficMeter} from '../links/traffic-meter.js';
import {type EntryRecord, parseEntry} from '../records/record-parsers.js';
import type {RecordStore, StoredRecord} from '../records/record-store.js';
import {entryPrefix} from '../records/store-keys.js';
import {UnreadableRecords} from '../records/unreadable-records.js';
import type {SubmissionCall, SubmissionReply} from '../submissions/submission-calls.js';
import {CancelNotices} from './cancel-notices.js';
import {EntryLosses} from './entry-losses.js';

/** Timeout in milliseconds of a query to the owner. A round trip to the farthest region takes 60 ms (30 ms each way). */
const queryTimeoutMs = 600;
/** Delay in milliseconds before a closed link to the owner is dialled again. */
const redialDelayMs = 300;
/** Interval in milliseconds at which the list of entries is read from the store. */
const entryListIntervalMs = 5_000;

/** Largest number of submission ids in one log line. */
const maxLoggedIds = 20;

/** Options of `EntryPeers`. */
export interface EntryPeersOptions {
  readonly name: string;
  readonly address: string;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly traffic: TrafficMeter;
  /** Returns the newest evacuated data centres that this entry knows; revision 0 when it knows none. */
  readonly getEvacuations: () => EvacuationSet;
  readonly onQueueBacklogs: (backlogs: QueueBacklogs) => void;
}

type EntryLink = Link<EntryResponse, EntryRequest>;

interface PendingRequest {
  readonly link: EntryLink;
  readonly finish: (response: EntryResponse | undefined) => void;
}

/** Links of an entry to the owner and, while the store refuses it or does not answer, to other entries. */
export class EntryPeers {
  private ownerAddress: string | undefined;
  private readonly links = new Map<string, EntryLink>();
  private readonly pending = new Map<number, PendingRequest>();
  private otherEntries: readonly EntryRecord[] = [];
  private hasEntryList = false;
  private nextRequest = 1;
  private nextRelay = 0;
  private redialTimer: NodeJS.Timeout | undefined;
  private listTimer: NodeJS.Timeout | undefined;
  private isStopped = false;
  private readonly losses: EntryLosses;
  private readonly cancelNotices: CancelNotices;
  private readonly unreadable: UnreadableRecords;

  constructor(private readonly options: EntryPeersOptions) {
    this.unreadable = new UnreadableRecords(options.log);
    this.losses = new EntryLosses(options.clock);
    this.cancelNotices = new CancelNotices(options.clock);
  }

  /** Whether this entry has just started, so that it does not know what its predecessor has stored. */
  get isStartRecent(): boolean {
    return this.losses.isStartRecent;
  }

  /** Addresses of the other entries. */
  get addresses(): readonly string[] {
    return this.otherEntries.map(entry => entry.address);
  }

  /** Number of processors of each other entry; undefined until the entries have been listed. */
  get processors(): readonly number[] | undefined {
    return this.hasEntryList ? this.otherEntries.map(entry => entry.processors) : undefined;
  }

  /** Starts to refresh the list of entries. */
  start(): void {
    void this.refreshEntries();
  }

  /** Sets the address of the owner; undefined when it is this process or there is none. */
  setOwner(address: string | undefined): void {
    if (address === this.ownerAddress) return;
    const former = this.ownerAddress;
    this.ownerAddress = address;
    if (former !== undefined) this.endLink(former);
    this.dialOwner();
  }

  /** Looks up a submission at the owner; undefined when the owner does not reply within `queryTimeoutMs`. */
  async askOwner(id: string): Promise<SubmissionLookup | undefined> {
    const {ownerAddress} = this;
    if (ownerAddress === undefined) return undefined;
    const link = this.getLink(ownerAddress);
    const response = await this.request(link, queryTimeoutMs, request => ({
      kind: 'query',
      request,
      id,
    }));
    return response?.kind === 'status' ? response : undefined;
  }

  /** Asks the owner for the number of pending submissions of a queue; undefined when no owner replies. */
  async countPending(queue: string): Promise<number | undefined> {
    const {ownerAddress} = this;
    if (ownerAddress === undefined) return undefined;
    const link = this.getLink(ownerAddress);
    const response = await this.request(link, queryTimeoutMs, request => ({
      kind: 'count',
      request,
      queue,
    }));
    return response?.kind === 'pending' ? response.pending : undefined;
  }

  /**
   * Asks all other entries for earlier attempts to hand in a submission. An entry that does not reply within
   * `queryTimeoutMs` may have one, and so may an entry that was lost within the time in which callers repeat attempts.
   */
  async findAttempt(id: string): Promise<AttemptState> {
    const states = await Promise.all(this.addresses.map(address => this.askAttempt(address, id)));
    if (states.includes('stored')) return 'stored';
    return states.includes('unresolved') || this.losses.isRecent ? 'unresolved' : 'none';
  }

  /**
   * Asks an entry how long ago in milliseconds an ownership of it ended at least; undefined when it lasts or the entry does
   * not answer. When nothing listens at its address, its process has ended.
   */
  async askOwnershipEnd({address, nonce}: OwnerRecord): Promise<number | undefined> {
    const link = this.getLink(address);
    const response = await this.request(link, queryTimeoutMs, request => ({
      kind: 'ownership-end',
      request,
      nonce,
    }));
    if (response?.kind === 'ownership-ended') return response.agoMs;
    return link.closeReason === 'ECONNREFUSED' ? 0 : undefined;
  }

  /** Notifies the owner of a cancelled submission; repeated on each new link to an owner until one confirms it. */
  notifyCancelled(id: string): void {
    this.cancelNotices.add(id);
    if (this.ownerAddress !== undefined) {
      this.getLink(this.ownerAddress).send({kind: 'cancelled', id});
    }
  }

  /** Notifies the owner of the evacuated data centres; repeated on each new link to an owner. */
  sendEvacuations(): void {
    const set = this.options.getEvacuations();
    if (this.ownerAddress === undefined || set.revision === 0) return;
    this.getLink(this.ownerAddress).send({kind: 'evacuations', ...set});
  }

  /**
   * Relays a call to the next entry in round-robin order. Returns undefined when it does not reply within `timeoutMs`,
   * and a refusal when the link never opened, since the call was then not sent.
   */
  async relay(call: SubmissionCall, timeoutMs: number): Promise<SubmissionReply | undefined> {
    this.nextRelay += 1;
    const address = this.otherEntries[this.nextRelay % this.otherEntries.length]?.address;
    if (address === undefined) return undefined;
    const link = this.getLink(address);
    const response = await this.request(link, timeoutMs, request => ({
      kind: 'call',
      request,
      call,
    }));
    if (response?.kind === 'reply') return response.reply;
    return link.hasBeenOpen
      ? undefined
      : {kind: 'refused', retryAfterSeconds: 1, reason: 'store-unreachable'};
  }

  /** Sends a request to another entry; undefined when it does not reply within `timeoutMs`. */
  ask(
    address: string,
    timeoutMs: number,
    create: (request: number) => EntryRequest,
  ): Promise<EntryResponse | undefined> {
    return this.request(this.getLink(address), timeoutMs, create);
  }

  /** Reads the list of entries from the store; after a failure the previous list is kept. */
  async readEntries(): Promise<void> {
    const {store, address} = this.options;
    const result = await store.list(entryPrefix, {stale: true});
    if (this.isStopped) return;
    if (result.kind === 'ok') {
      const entries = result.records.flatMap(record => this.parseRecord(record) ?? []);
      // The list is empty after the store has lost its leases; the previous list is then more likely to be right.
      if (entries.length > 0)
        this.setOtherEntries(entries.filter(entry => entry.address !== address));
      this.hasEntryList = true;
    }
  }

  /** Closes all links. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.redialTimer);
    clearTimeout(this.listTimer);
    for (const link of this.links.values()) link.end();
  }

  private async askAttempt(address: string, id: string): Promise<AttemptState> {
    const link = this.getLink(address);
    const response = await this.request(link, queryTimeoutMs, request => ({
      kind: 'attempt',
      request,
      id,
    }));
    if (response?.kind === 'attempt-state') return response.state;
    // An entry that cannot be reached counts as lost.
    return link.hasBeenOpen ? 'unresolved' : 'none';
  }

  private async refreshEntries(): Promise<void> {
    await this.readEntries();
    if (this.isStopped) return;
    this.listTimer = setTimeout(() => void this.refreshEntries(), entryListIntervalMs);
  }

  private parseRecord(record: StoredRecord): EntryRecord | undefined {
    const entry = parseEntry(record.value);
    if (entry === undefined) this.unreadable.report(record);
    return entry;
  }

  private setOtherEntries(entries: readonly EntryRecord[]): void {
    const addresses = new Set(entries.map(entry => entry.address));
    for (const address of this.addresses) if (!addresses.has(address)) this.losses.record(address);
    this.losses.retain(addresses);
    this.otherEntries = entries;
  }

  /** Ends the link to an entry that is not needed any more; this does not count as a loss. */
  private endLink(address: string): void {
    const link = this.links.get(address);
    this.links.delete(address);
    link?.end();
  }

  private dialOwner(): void {
    clearTimeout(this.redialTimer);
    if (this.ownerAddress === undefined || this.isStopped) return;
    const link = this.getLink(this.ownerAddress);
    this.sendEvacuations();
    const {unconfirmed} = this.cancelNotices;
    if (unconfirmed.length === 0) return;
    for (const id of unconfirmed) link.send({kind: 'cancelled', id});
    this.options.log.log('cancel-notices-repeated', {
      owner: this.ownerAddress,
      count: unconfirmed.length,
      submissions: unconfirmed.slice(0, maxLoggedIds),
    });
  }

  private getLink(address: string): EntryLink {
    const existingLink = this.links.get(address);
    if (existingLink) return existingLink;
    const backlogs = new BacklogDecoder();
    const handlers: LinkHandlers<EntryResponse> = {
      message: response => {
        this.losses.recordContact(address);
        this.receive(response, backlogs);
      },
      closed: reason => this.handleClosed(address, link, reason),
    };
    const link: EntryLink = dialLink(address, handlers, this.options.traffic);
    this.links.set(address, link);
    link.send({kind: 'entry', name: this.options.name});
    return link;
  }

  private handleClosed(address: string, link: EntryLink, reason: string): void {
    if (this.links.get(address) === link) {
      this.links.delete(address);
      if (!this.isStopped) this.losses.record(address);
    }
    for (const pending of [...this.pending.values()]) {
      if (pending.link === link) pending.finish(undefined);
    }
    if (this.isStopped || address !== this.ownerAddress) return;
    this.options.log.log('owner-link-closed', {address, reason});
    clearTimeout(this.redialTimer);
    this.redialTimer = setTimeout(() => this.dialOwner(), redialDelayMs);
  }

  private request(
    link: EntryLink,
    timeoutMs: number,
    create: (request: number) => EntryRequest,
  ): Promise<EntryResponse | undefined> {
    const request = this.nextRequest++;
    return new Promise(resolve => {
      const timer = setTimeout(() => finish(undefined), Math.max(0, timeoutMs));
      const finish = (response: EntryResponse | undefined) => {
        clearTimeout(timer);
        this.pending.delete(request);
        resolve(response);
      };
      this.pending.set(request, {link, finish});
      link.send(create(request));
    });
  }

  private receive(response: EntryResponse, backlogs: BacklogDecoder): void {
    if (response.kind === 'queue-backlogs') this.options.onQueueBacklogs(backlogs.decode(response));
    else if (response.kind === 'cancel-received') this.cancelNotices.confirm(response.id);
    else if ('request' in response) this.pending.get(response.request)?.finish(response);
  }
}
