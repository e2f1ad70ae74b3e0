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

/** Reducers of an entry; tests substitute faulty ones. */
export interface TaskEntryReducers {
  readonly ownership: {
    reduce(event: CellOwnershipEvent, at: number): readonly CellOwnershipEffect[];
  };
  readonly scheduler: {
    reduce(event: CellSchedulerEvent, at: number): readonly CellSchedulerEffect[];
  };
}

/** Creates the reducers when an entry starts. */
export type TaskEntryReducersFactory = (entry: TaskEntry) => TaskEntryReducers;

const cell = 'main';
const ledgerKey = `cell/${cell}/ledger`;

const createProductionReducers: TaskEntryReducersFactory = entry => ({
  ownership: new CellOwnership({
    cell,
    entry: entry.name,
    dataCentre: entry.options.dataCentre,
    incarnation: entry.incarnation,
    startedAt: entry.clock,
  }),
  scheduler: new CellScheduler({cell}),
});

/** Simulated entry that runs only the reducers `CellOwnership` and `CellScheduler`. */
export class TaskEntry extends SimulatedProcess implements Endpoint<TaskMessage> {
  /** Ownership mode of the entry, `none` when it does not own the cell; scenarios use it to find the owner. */
  mode = 'none';
  #reducers!: TaskEntryReducers;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<TaskMessage>,
    private readonly store: SimulatedStore,
    private readonly onStart: (entry: TaskEntry) => void,
    private readonly createReducers: TaskEntryReducersFactory = createProductionReducers,
  ) {
    super(simulation, options);
  }

  peerUp(peer: Endpoint<TaskMessage>): void {
    const hello = createHello(peer);
    if (peer.options.role === 'agent') {
      this.#applyScheduler({kind: 'host-up', host: peer.name, hello});
    } else {
      this.#applyOwnership({kind: 'peer-up', peer: peer.name, hello});
    }
  }

  peerDown(peer: string): void {
    // The names of the hosts start with `h`, those of the entries with `e`.
    if (peer.startsWith('h')) this.#applyScheduler({kind: 'host-down', host: peer});
    else this.#applyOwnership({kind: 'peer-down', peer});
  }

  receive(
    peer: string,
    message: TaskMessage,
    _body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void {
    switch (message.kind) {
      case 'announce':
        return this.#applyScheduler({kind: 'announce', host: peer, message}, beforeEffects);
      case 'heartbeat':
        return this.#applyScheduler({kind: 'heartbeat', host: peer, message}, beforeEffects);
      case 'report':
        return this.#applyScheduler({kind: 'report', host: peer, message}, beforeEffects);
      case 'vouch':
      case 'vouched':
      case 'fence':
      case 'fenced':
        return this.#applyOwnership({kind: 'message', peer, message}, beforeEffects);
      default:
    }
  }

  /** Passes a configuration to the scheduler. */
  configure(configuration: Configuration): void {
    this.deliver(() => this.#applyScheduler({kind: 'configuration', configuration}));
  }

  /** Passes the registered entries to the ownership reducer. */
  register(entries: readonly RegisteredEntry[]): void {
    this.deliver(() => this.#applyOwnership({kind: 'entries', entries}));
  }

  protected boot(): void {
    this.mode = 'none';
    this.#reducers = this.createReducers(this);
    this.onStart(this);
  }

  protected tick(): void {
    this.#applyOwnership({kind: 'tick'});
    this.#applyScheduler({kind: 'tick', wallTimeMs: this.simulation.now});
  }

  protected onEnd(): void {
    this.mode = 'none';
    this.network.closeConnectionsOf(this.name);
  }

  #applyOwnership(event: CellOwnershipEvent, beforeEffects?: () => void): void {
    const effects = this.#reducers.ownership.reduce(event, this.clock);
    this.executeEffects(effects, effect => this.#executeOwnership(effect), beforeEffects);
  }

  #applyScheduler(event: CellSchedulerEvent, beforeEffects?: () => void): void {
    const effects = this.#reducers.scheduler.reduce(event, this.clock);
    this.executeEffects(effects, effect => this.#executeScheduler(effect), beforeEffects);
  }

  #executeOwnership(effect: CellOwnershipEffect): void {
    switch (effect.kind) {
      case 'store-call':
        this.store.call(this, toStoreCall(effect.call), ({...reply}) =>
          this.#applyOwnership({kind: 'store-result', request: effect.request, ...reply}),
        );
        break;
      case 'send':
        this.network.send(this.name, effect.peer, effect.message);
        break;
      case 'ownership':
        this.mode = effect.mode;
        this.#applyScheduler(effect);
        break;
      case 'fence-complete':
        this.#applyScheduler(effect);
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
          this.#applyScheduler({kind: 'ledger-read', record, revision: reply.revision});
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
          this.#applyScheduler({kind: 'ledger-written', sequence, result, revision});
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
