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

/** What a virtual entry needs of its environment. */
export interface EntryEnvironment {
  readonly queue: EventQueue;
  /** Carries out a store call; undefined when the answer never comes. */
  callStore(entry: VirtualEntry, call: OwnershipStoreCall): VirtualStoreAnswer | undefined;
  sendToHost(entry: VirtualEntry, host: string, message: SchedulerMessage): void;
  sendToEntry(entry: VirtualEntry, peer: string, message: OwnershipMessage): void;
}

/** Time after which an unanswered store call of the edge counts as lost. */
const storeTimeoutMs = 2_000;
const storeRoundTripMs = 3;
const tickIntervalMs = 100;

/** An entry process with the cell's ownership and scheduler, with its own clock, which may drift or pause. */
export class VirtualEntry {
  ownership: CellOwnership;
  scheduler: CellScheduler;
  mode: OwnershipMode = 'none';
  term = 0;
  /** Times of changes of the mode. */
  readonly modeChanges: Array<{at: number; mode: OwnershipMode; term: number}> = [];
  isDead = false;
  private paused = false;
  private readonly backlog: Array<() => void> = [];

  constructor(
    readonly registered: RegisteredEntry,
    private readonly environment: EntryEnvironment,
    private readonly clockRate = 1,
  ) {
    const {name: entry, dataCentre, incarnation} = registered;
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

  /** The process stops; what arrives waits until it continues. */
  pause(durationMs: number): void {
    this.paused = true;
    this.environment.queue.after(durationMs, () => {
      this.paused = false;
      for (const action of this.backlog.splice(0)) action();
    });
  }

  /** Whether the process is stopped at present. */
  get isPaused(): boolean {
    return this.paused;
  }

  /** Runs an action in the process, at once or when it continues. */
  run(action: () => void): void {
    if (this.isDead) return;
    if (this.paused) this.backlog.push(action);
    else action();
  }

  /** Hello of the entry. */
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

  /** Hands an event to the ownership. */
  handleOwnership(event: CellOwnershipEvent): void {
    for (const effect of this.ownership.reduce(event, this.now))
      this.carryOutOwnershipEffect(effect);
  }

  /** Hands an event to the scheduler. */
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
          const results = {ok: 'written', mismatch: 'conflict'} as Record<string, string>;
          const result = (results[answer.result] ?? 'unknown') as
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
