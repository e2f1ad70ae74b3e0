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

const ledgerRetryMs = 500;

/** Carries out an entry's calls to the store and posts their results. */
export class EntryStore {
  private readonly client: StoreClient;
  private readonly configuration: ConfigurationStore;
  private readonly registration: EntryRegistration;
  private readonly reading = new Set<string>();
  private reachable: boolean | undefined;
  private stopped = false;

  /** Creates the client of the store at `url`. */
  constructor(
    url: string,
    own: RegisteredEntry,
    private readonly post: (event: EntryProcessEvent) => void,
    private readonly logger: Logger,
  ) {
    this.client = new StoreClient({url});
    this.configuration = new ConfigurationStore(this.client, event => {
      if (event.kind === 'store-result') this.note(event.answer.result);
      if (isStoreEvent(event)) post({kind: 'configuration-store', event});
    });
    this.registration = new EntryRegistration(this.client, own, entries =>
      post({kind: 'entries', entries}),
    );
  }

  /** Registers this entry. */
  start(): void {
    this.registration.start();
  }

  /** Ends all calls. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.registration.stop();
    await this.client.close();
  }

  /** Carries out a call for the configuration. */
  configure(effect: Extract<EntryProcessEffect, {readonly kind: 'configuration-store'}>): void {
    this.configuration.carryOut(effect.call);
  }

  /** Carries out a call for the ownership of a cell. */
  async own({cell, request, call}: OwnershipCall): Promise<void> {
    const answer = await this.callOwnership(call);
    this.note(answer.result);
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

  /** Carries out a call for the ledger of a cell. */
  async keepLedger({cell, call}: LedgerCall): Promise<void> {
    const key = `cell/${cell}/ledger`;
    if (call.kind === 'read-ledger') return this.readLedger(cell, key);
    const {sequence, record, expectedRevision} = call;
    const answer = await this.client.write(key, record, expectedRevision);
    this.note(answer.result);
    const written = {kind: 'ledger-written', sequence} as const;
    if (answer.result === 'ok') {
      const event = {...written, result: 'written', revision: answer.revision} as const;
      return this.post({kind: 'ledger-store', cell, event});
    }
    const result = answer.result === 'mismatch' ? 'conflict' : 'unknown';
    this.post({kind: 'ledger-store', cell, event: {...written, result}});
  }

  private async readLedger(cell: string, key: string): Promise<void> {
    if (this.reading.has(cell) || this.stopped) return;
    this.reading.add(cell);
    const answer = await this.client.read(key);
    this.reading.delete(cell);
    this.note(answer.result);
    if (answer.result !== 'ok') {
      setTimeout(() => void this.readLedger(cell, key), ledgerRetryMs);
      return;
    }
    const {revision, value} = answer;
    if (value === undefined || value === null) {
      const event = {kind: 'ledger-read', revision} as const;
      return this.post({kind: 'ledger-store', cell, event});
    }
    const record = parseLedgerRecord(value);
    if (record.isErr()) {
      // Without the ledger nothing may start: finished work could run again.
      this.logger.error({cell, findings: record.error}, 'the ledger in the store is not valid');
      return;
    }
    const event = {kind: 'ledger-read', record: record.value, revision} as const;
    this.post({kind: 'ledger-store', cell, event});
  }

  private async callOwnership(call: OwnershipStoreCall): Promise<StoreAnswer | LeaseAnswer> {
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

  private note(result: StoreAnswer['result']): void {
    const reachable = result === 'ok' || result === 'mismatch' || result === 'limited';
    if (reachable === this.reachable) return;
    this.reachable = reachable;
    if (reachable) this.logger.info('the store answers');
    else this.logger.warn({result}, 'the store does not answer');
    this.post({kind: 'store-reachable', reachable});
  }
}

type StoreEvent = Extract<EntryProcessEvent, {readonly kind: 'configuration-store'}>['event'];

function isStoreEvent(event: {readonly kind: string}): event is StoreEvent {
  return ['head', 'watch-quiet', 'watch-failed', 'store-result'].includes(event.kind);
}
