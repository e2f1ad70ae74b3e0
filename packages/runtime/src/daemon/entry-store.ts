import {
  type EntryProcessEffect,
  type EntryProcessEvent,
  type OwnershipStoreCall,
  parseLedgerRecord,
  type RegisteredEntry,
  type StoreAnswer,
} from '@chervilbeam/coordination';
import type {Logger} from '../logs/index.js';
import {ConfigurationStore, type LeaseAnswer, StoreClient} from '../store/index.js';
import {EntryRegistration} from './entry-registration.js';

type OwnershipCall = Extract<EntryProcessEffect, {readonly kind: 'ownership-store'}>;
type LedgerCall = Extract<EntryProcessEffect, {readonly kind: 'ledger-store'}>;

/** Delay before a failed read of a ledger is repeated. */
const ledgerRetryDelayMs = 500;

/** Executes the store effects of an entry process and posts their results as events. */
export class EntryStore {
  private readonly client: StoreClient;
  private readonly configuration: ConfigurationStore;
  private readonly registration: EntryRegistration;
  private readonly cellsBeingRead = new Set<string>();
  private isReachable: boolean | undefined;
  private stopped = false;

  /** Creates the client of the store at `url`; `start` registers `ownEntry` there. */
  constructor(
    url: string,
    ownEntry: RegisteredEntry,
    private readonly post: (event: EntryProcessEvent) => void,
    private readonly logger: Logger,
  ) {
    this.client = new StoreClient({url});
    this.configuration = new ConfigurationStore(this.client, event => {
      if (event.kind === 'store-result') this.updateReachability(event.answer.result);
      if (isStoreEvent(event)) post({kind: 'configuration-store', event});
    });
    this.registration = new EntryRegistration(this.client, ownEntry, entries =>
      post({kind: 'entries', entries}),
    );
  }

  /** Starts to keep this entry registered in the store. */
  start(): void {
    this.registration.start();
  }

  /** Aborts all calls and closes the connections to the store. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.registration.stop();
    await this.client.close();
  }

  /** Executes a store call of the configuration view. */
  executeConfigurationCall(
    effect: Extract<EntryProcessEffect, {readonly kind: 'configuration-store'}>,
  ): void {
    this.configuration.executeEffect(effect.call);
  }

  /** Executes a store call of the ownership of a cell and posts the result. */
  async executeOwnershipCall({cell, request, call}: OwnershipCall): Promise<void> {
    const answer = await this.sendOwnershipCall(call);
    this.updateReachability(answer.result);
    const result = answer.result === 'limited' ? 'unavailable' : answer.result;
    const {revision, value, lease} = answer as {
      readonly revision?: number;
      readonly value?: unknown;
      readonly lease?: string;
    };
    this.post({
      kind: 'ownership-store',
      cell,
      event: {
        kind: 'store-result',
        request,
        result,
        ...(revision !== undefined && {revision}),
        ...(value !== undefined && {value}),
        ...(lease !== undefined && {lease}),
      },
    });
  }

  /** Executes a read or a write of the ledger of a cell and posts the result. Failed reads are repeated. */
  async executeLedgerCall({cell, call}: LedgerCall): Promise<void> {
    const key = `cell/${cell}/ledger`;
    if (call.kind === 'read-ledger') return this.readLedger(cell, key);
    const {sequence, record, expectedRevision} = call;
    const answer = await this.client.write(key, record, expectedRevision);
    this.updateReachability(answer.result);
    const written = {kind: 'ledger-written', sequence} as const;
    if (answer.result === 'ok') {
      const event = {...written, result: 'written', revision: answer.revision} as const;
      return this.post({kind: 'ledger-store', cell, event});
    }
    const result = answer.result === 'mismatch' ? 'conflict' : 'unknown';
    this.post({kind: 'ledger-store', cell, event: {...written, result}});
  }

  private async readLedger(cell: string, key: string): Promise<void> {
    if (this.cellsBeingRead.has(cell) || this.stopped) return;
    this.cellsBeingRead.add(cell);
    const answer = await this.client.read(key);
    this.cellsBeingRead.delete(cell);
    this.updateReachability(answer.result);
    if (answer.result !== 'ok') {
      setTimeout(() => void this.readLedger(cell, key), ledgerRetryDelayMs);
      return;
    }
    const {revision, value} = answer;
    if (value === undefined || value === null) {
      const event = {kind: 'ledger-read', revision} as const;
      return this.post({kind: 'ledger-store', cell, event});
    }
    const record = parseLedgerRecord(value);
    if (record.isErr()) {
      // No result is posted, so the cell starts nothing: without the ledger, finished tasks could run again.
      this.logger.error({cell, findings: record.error}, 'ledger in the store is invalid');
      return;
    }
    const event = {kind: 'ledger-read', record: record.value, revision} as const;
    this.post({kind: 'ledger-store', cell, event});
  }

  private async sendOwnershipCall(call: OwnershipStoreCall): Promise<StoreAnswer | LeaseAnswer> {
    switch (call.operation) {
      case 'read':
        return this.client.read(call.key);
      case 'write':
        return this.client.write(call.key, call.value, call.expectedRevision, call.lease);
      case 'open-lease':
        return this.client.openLease(call.ttlMs);
      case 'renew-lease':
        return this.client.renewLease(call.lease);
      case 'close-lease':
        return this.client.closeLease(call.lease);
    }
  }

  private updateReachability(result: StoreAnswer['result']): void {
    const reachable = result === 'ok' || result === 'mismatch' || result === 'limited';
    if (reachable === this.isReachable) return;
    this.isReachable = reachable;
    if (reachable) this.logger.info('store is reachable');
    else this.logger.warn({result}, 'store is unreachable');
    this.post({kind: 'store-reachable', isReachable: reachable});
  }
}

type StoreEvent = Extract<EntryProcessEvent, {readonly kind: 'configuration-store'}>['event'];

function isStoreEvent(event: {readonly kind: string}): event is StoreEvent {
  return ['head', 'watch-quiet', 'watch-failed', 'store-result'].includes(event.kind);
}
