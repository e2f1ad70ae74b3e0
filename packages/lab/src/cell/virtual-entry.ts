import {
  CellOwnership,
  CellScheduler,
  type CellOwnershipEffect,
  type CellOwnershipEvent,
  type CellSchedulerEffect,
  type CellSchedulerEvent,
  type Hello,
  type LedgerRecord,
  type OwnershipMode,
  type OwnershipStoreCall,
  type RegisteredEntry,
  type SchedulerMessage,
} from '@chervilbeam/coordination';
import type {EventQueue} from './event-queue.js';
import type {VirtualStoreAnswer} from './virtual-store.js';

type OwnershipMessage = Extract<CellOwnershipEffect, {kind: 'send'}>['message'];

/** Event queue, store and connections that a virtual entry uses. */
export interface EntryEnvironment {
  readonly queue: EventQueue;
  /** Carries out a store call; returns undefined when no answer arrives. */
  callStore(entry: VirtualEntry, call: OwnershipStoreCall): VirtualStoreAnswer | undefined;
  /** Sends a message to an agent; it is lost if the data centres are partitioned when it is sent or arrives. */
  sendToHost(entry: VirtualEntry, host: string, message: SchedulerMessage): void;
  /** Sends a message to an entry; it is lost if the data centres are partitioned when it is sent or arrives. */
  sendToEntry(entry: VirtualEntry, peer: string, message: OwnershipMessage): void;
}

/** Timeout of a store call; a call without an answer then ends as `unknown`. */
const storeTimeoutMs = 2_000;
/** Round-trip time of an answered store call, half of it in each direction. */
const storeRoundTripMs = 3;
const tickIntervalMs = 100;

/** Runs the real ownership and scheduler reducers of an entry. Its clock may drift, and it may be paused or killed. */
export class VirtualEntry {
  ownership: CellOwnership;
  scheduler: CellScheduler;
  /** Ownership mode that the ownership reducer last reported. */
  mode: OwnershipMode = 'none';
  /** Term of the ownership that the ownership reducer last reported. */
  term = 0;
  /** Every change of the ownership mode or term, with its virtual time. */
  readonly modeChanges: Array<{at: number; mode: OwnershipMode; term: number}> = [];
  /** Whether the entry was killed; a killed entry does not restart. */
  isDead = false;
  private paused = false;
  /** Actions that arrived while the process was paused. */
  private readonly backlog: Array<() => void> = [];

  constructor(
    readonly registered: RegisteredEntry,
    private readonly environment: EntryEnvironment,
    private readonly clockRate = 1,
  ) {
    const {name: entry, dataCentre, incarnation} = registered;
    // A minute before the simulation starts, so that vouches issued by the entry's previous process have expired.
    const startedAt = this.now - 60_000;
    this.ownership = new CellOwnership({cell: 'main', entry, dataCentre, incarnation, startedAt});
    this.scheduler = new CellScheduler({cell: 'main'});
    environment.queue.every(tickIntervalMs, () => {
      this.run(() => {
        this.handleOwnership({kind: 'tick'});
        this.handleScheduler({kind: 'tick', wallTimeMs: environment.queue.now});
      });
      return !this.isDead;
    });
  }

  /** Pauses the process; events that arrive meanwhile are handled when it resumes. */
  pause(durationMs: number): void {
    this.paused = true;
    this.environment.queue.after(durationMs, () => {
      this.paused = false;
      for (const action of this.backlog.splice(0)) action();
    });
  }

  /** Whether the process is paused. */
  get isPaused(): boolean {
    return this.paused;
  }

  /** Runs an action in the process: at once, or when it resumes, or never if it is dead. */
  run(action: () => void): void {
    if (this.isDead) return;
    if (this.paused) this.backlog.push(action);
    else action();
  }

  /** Returns the handshake message of the entry. */
  getHello(): Hello {
    const {name, dataCentre, incarnation} = this.registered;
    return {
      kind: 'hello',
      protocol: 1,
      deployment: 'virtual',
      role: 'entry',
      dataCentre,
      region: 'virtual',
      name,
      incarnation,
      purpose: 'control',
      peers: [],
      configVersion: 0,
    };
  }

  /** Passes an event to the ownership reducer and executes its effects. */
  handleOwnership(event: CellOwnershipEvent): void {
    for (const effect of this.ownership.reduce(event, this.now))
      this.carryOutOwnershipEffect(effect);
  }

  /** Passes an event to the scheduler and executes its effects. */
  handleScheduler(event: CellSchedulerEvent): void {
    for (const effect of this.scheduler.reduce(event, this.now))
      this.carryOutSchedulerEffect(effect);
  }

  private get now(): number {
    return this.environment.queue.now * this.clockRate;
  }

  private callStore(
    call: OwnershipStoreCall,
    onAnswer: (result: VirtualStoreAnswer) => void,
  ): void {
    const {queue} = this.environment;
    queue.after(storeRoundTripMs / 2, () => {
      const result = this.environment.callStore(this, call);
      const lost = result === undefined || result.result === 'unknown';
      const delayMs = lost ? storeTimeoutMs : storeRoundTripMs / 2;
      queue.after(delayMs, () => this.run(() => onAnswer(result ?? {result: 'unknown'})));
    });
  }

  private carryOutOwnershipEffect(effect: CellOwnershipEffect): void {
    switch (effect.kind) {
      case 'store-call':
        this.callStore(effect.call, result =>
          this.handleOwnership({kind: 'store-result', request: effect.request, ...result}),
        );
        break;
      case 'send':
        this.environment.sendToEntry(this, effect.peer, effect.message);
        break;
      case 'ownership':
        if (effect.mode !== this.mode || effect.term !== this.term) {
          const {mode, term} = effect;
          this.modeChanges.push({at: this.environment.queue.now, mode, term});
        }
        this.mode = effect.mode;
        this.term = effect.term;
        this.handleScheduler(effect);
        break;
      case 'fence-complete':
        this.handleScheduler(effect);
        break;
      default:
        break;
    }
  }

  private carryOutSchedulerEffect(effect: CellSchedulerEffect): void {
    const key = 'cell/main/ledger';
    switch (effect.kind) {
      case 'send':
        this.environment.sendToHost(this, effect.host, effect.message);
        break;
      case 'read-ledger':
        this.callStore({operation: 'read', key}, answer => {
          if (answer.result !== 'ok') return;
          const record = answer.value as LedgerRecord | undefined;
          this.handleScheduler({kind: 'ledger-read', record, revision: answer.revision ?? 0});
        });
        break;
      case 'write-ledger': {
        const {sequence, record: value, expectedRevision} = effect;
        this.callStore({operation: 'write', key, value, expectedRevision}, answer => {
          const ledgerResults = {ok: 'written', mismatch: 'conflict'} as Record<string, string>;
          const result = (ledgerResults[answer.result] ?? 'unknown') as
            'written' | 'conflict' | 'unknown';
          const {revision} = answer;
          this.handleScheduler({kind: 'ledger-written', sequence, result, revision});
        });
        break;
      }
      default:
        break;
    }
  }
}
