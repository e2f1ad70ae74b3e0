import {
  CellOwnership,
  CellScheduler,
  type Announce,
  type CellOwnershipEffect,
  type CellOwnershipEvent,
  type CellSchedulerEffect,
  type CellSchedulerEvent,
  type Configuration,
  type Heartbeat,
  type LedgerRecord,
  type OwnershipStoreCall,
  type RegisteredEntry,
  type Report,
  type SchedulerMessage,
} from '@chervilbeam/coordination';
import {SimulatedProcess, type ProcessOptions} from '../kernel/simulated-process.js';
import type {Endpoint, SimulatedNetwork} from '../kernel/simulated-network.js';
import type {SimulatedStore, StoreCall} from '../kernel/simulated-store.js';
import type {Simulation} from '../kernel/simulation.js';
import {createHello} from './hello.js';

type OwnershipMessage = Extract<CellOwnershipEffect, {kind: 'send'}>['message'];

/** Messages of the task protocols. */
export type TaskMessage = SchedulerMessage | Report | Heartbeat | Announce | OwnershipMessage;

/** The reducers of an entry; tests pass broken ones. */
export interface TaskEntryReducers {
  readonly ownership: {
    reduce(event: CellOwnershipEvent, at: number): readonly CellOwnershipEffect[];
  };
  readonly scheduler: {
    reduce(event: CellSchedulerEvent, at: number): readonly CellSchedulerEffect[];
  };
}

/** Creates the reducers of one life of an entry. */
export type CreateTaskEntryReducers = (entry: TaskEntry) => TaskEntryReducers;

const cell = 'main';
const ledgerKey = `cell/${cell}/ledger`;

const createRealReducers: CreateTaskEntryReducers = entry => ({
  ownership: new CellOwnership({
    cell,
    entry: entry.name,
    dataCentre: entry.options.dataCentre,
    incarnation: entry.incarnation,
    startedAt: entry.clock,
  }),
  scheduler: new CellScheduler({cell}),
});

/** Entry that runs `CellOwnership` and `CellScheduler` alone. */
export class TaskEntry extends SimulatedProcess implements Endpoint<TaskMessage> {
  /** Relation to the cell, for scenarios that strike the owner. */
  mode = 'none';
  #reducers!: TaskEntryReducers;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<TaskMessage>,
    private readonly store: SimulatedStore,
    private readonly onStart: (entry: TaskEntry) => void,
    private readonly createReducers: CreateTaskEntryReducers = createRealReducers,
  ) {
    super(simulation, options);
  }

  peerUp(peer: Endpoint<TaskMessage>): void {
    const hello = createHello(peer);
    if (peer.options.role === 'agent') {
      this.#schedule({kind: 'host-up', host: peer.name, hello});
    } else {
      this.#own({kind: 'peer-up', peer: peer.name, hello});
    }
  }

  peerDown(peer: string): void {
    if (peer.startsWith('h')) this.#schedule({kind: 'host-down', host: peer});
    else this.#own({kind: 'peer-down', peer});
  }

  receive(
    peer: string,
    message: TaskMessage,
    _body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void {
    switch (message.kind) {
      case 'announce':
        return this.#schedule({kind: 'announce', host: peer, message}, beforeEffects);
      case 'heartbeat':
        return this.#schedule({kind: 'heartbeat', host: peer, message}, beforeEffects);
      case 'report':
        return this.#schedule({kind: 'report', host: peer, message}, beforeEffects);
      case 'vouch':
      case 'vouched':
      case 'fence':
      case 'fenced':
        return this.#own({kind: 'message', peer, message}, beforeEffects);
      default:
    }
  }

  /** Tells the process of a configuration. */
  configure(configuration: Configuration): void {
    this.deliver(() => this.#schedule({kind: 'configuration', configuration}));
  }

  /** Tells the process which entries are registered. */
  register(entries: readonly RegisteredEntry[]): void {
    this.deliver(() => this.#own({kind: 'entries', entries}));
  }

  protected boot(): void {
    this.mode = 'none';
    this.#reducers = this.createReducers(this);
    this.onStart(this);
  }

  protected tick(): void {
    this.#own({kind: 'tick'});
    this.#schedule({kind: 'tick', wallTimeMs: this.simulation.now});
  }

  protected ended(): void {
    this.mode = 'none';
    this.network.processEnded(this.name);
  }

  #own(event: CellOwnershipEvent, beforeEffects?: () => void): void {
    const effects = this.#reducers.ownership.reduce(event, this.clock);
    this.carryOut(effects, effect => this.#executeOwnership(effect), beforeEffects);
  }

  #schedule(event: CellSchedulerEvent, beforeEffects?: () => void): void {
    const effects = this.#reducers.scheduler.reduce(event, this.clock);
    this.carryOut(effects, effect => this.#executeScheduler(effect), beforeEffects);
  }

  #executeOwnership(effect: CellOwnershipEffect): void {
    switch (effect.kind) {
      case 'store-call':
        this.store.call(this, toStoreCall(effect.call), ({...reply}) =>
          this.#own({kind: 'store-result', request: effect.request, ...reply}),
        );
        break;
      case 'send':
        this.network.send(this.name, effect.peer, effect.message);
        break;
      case 'ownership':
        this.mode = effect.mode;
        this.#schedule(effect);
        break;
      case 'fence-complete':
        this.#schedule(effect);
        break;
      default:
    }
  }

  #executeScheduler(effect: CellSchedulerEffect): void {
    switch (effect.kind) {
      case 'send':
        this.network.send(this.name, effect.host, effect.message);
        break;
      case 'read-ledger':
        this.store.call(this, {kind: 'get', key: ledgerKey}, reply => {
          if (reply.result !== 'ok') return;
          const record = reply.value as LedgerRecord | undefined;
          this.#schedule({kind: 'ledger-read', record, revision: reply.revision});
        });
        break;
      case 'write-ledger': {
        const {sequence, record: value, expectedRevision: expect} = effect;
        this.store.call(this, {kind: 'put', key: ledgerKey, value, expect}, reply => {
          const results = {ok: 'written', mismatch: 'conflict'} as const;
          const result =
            reply.result === 'ok' || reply.result === 'mismatch'
              ? results[reply.result]
              : ('unknown' as const);
          const revision = reply.result === 'ok' ? reply.revision : undefined;
          this.#schedule({kind: 'ledger-written', sequence, result, revision});
        });
        break;
      }
      default:
    }
  }
}

function toStoreCall(call: OwnershipStoreCall): StoreCall {
  switch (call.operation) {
    case 'read':
      return {kind: 'get', key: call.key};
    case 'write': {
      const {key, value, expectedRevision: expect, lease} = call;
      return {kind: 'put', key, value, expect, lease};
    }
    case 'open-lease':
      return {kind: 'create-lease', ttlMs: call.ttlMs};
    case 'renew-lease':
      return {kind: 'renew-lease', lease: call.lease};
    case 'close-lease':
      return {kind: 'delete-lease', lease: call.lease};
  }
}
