import {mainCell} from '../configuration/cell-shares.js';
import type {Configuration} from '../configuration/document.js';
import type {ControlMessage, Hello} from '../messages/control.js';
import {CellOwnership, type CellOwnershipOptions} from '../ownership/cell-ownership.js';
import type {CellOwnershipEffect, CellOwnershipEvent} from '../ownership/events.js';
import {CellScheduler} from '../tasks/cell-scheduler.js';
import type {CellSchedulerEffect, CellSchedulerEvent, OwnershipMode} from '../tasks/events.js';
import type {EntryProcessEffect} from './entry-process-events.js';

/** A cell at an entry: competes for its ownership and schedules it while this entry owns it. */
export class ScheduledCell {
  /** Scheduler of the cell; idle while another entry owns it. */
  readonly scheduler: CellScheduler;
  /** Name of the cell. */
  readonly cell: string;
  private readonly ownership: CellOwnership;
  private currentMode: OwnershipMode = 'none';
  private readonly effects: EntryProcessEffect[] = [];

  /** Creates the cell; it competes for the ownership from the first tick. */
  constructor(options: CellOwnershipOptions) {
    this.cell = options.cell;
    this.ownership = new CellOwnership(options);
    this.scheduler = new CellScheduler({cell: options.cell});
  }

  /** Ownership state of the cell at this process. */
  get mode(): OwnershipMode {
    return this.currentMode;
  }

  /** Returns the effects since the last call. */
  takeEffects(): EntryProcessEffect[] {
    return this.effects.splice(0);
  }

  /** Passes an event to the ownership reducer. */
  reduceOwnership(event: CellOwnershipEvent, at: number): void {
    for (const effect of this.ownership.reduce(event, at)) this.handleOwnershipEffect(effect, at);
  }

  /** Passes an event to the scheduler. */
  reduceScheduler(event: CellSchedulerEvent, at: number): void {
    for (const effect of this.scheduler.reduce(event, at)) this.handleSchedulerEffect(effect);
  }

  /** Applies a new configuration. */
  configure(configuration: Configuration, at: number): void {
    this.reduceScheduler({kind: 'configuration', configuration}, at);
  }

  /** Handles a new control connection. */
  connect(peer: string, hello: Hello, at: number): void {
    this.reduceOwnership({kind: 'peer-up', peer, hello}, at);
    if (hello.role !== 'agent' || (hello.cell ?? mainCell) !== this.cell) return;
    this.reduceScheduler({kind: 'host-up', host: peer, hello}, at);
  }

  /** Handles the loss of a control connection. */
  disconnect(peer: string, role: Hello['role'], at: number): void {
    this.reduceOwnership({kind: 'peer-down', peer}, at);
    if (role === 'agent') this.reduceScheduler({kind: 'host-down', host: peer}, at);
  }

  /** Handles a control message; returns false for kinds that no cell handles. */
  receive(peer: string, message: ControlMessage, at: number): boolean {
    switch (message.kind) {
      case 'announce':
        this.reduceScheduler({kind: 'announce', host: peer, message}, at);
        return true;
      case 'heartbeat':
        this.reduceScheduler({kind: 'heartbeat', host: peer, message}, at);
        return true;
      case 'report':
        this.reduceScheduler({kind: 'report', host: peer, message}, at);
        return true;
      case 'vouch':
      case 'vouched':
      case 'fence':
      case 'fenced':
        if (message.cell === this.cell) this.reduceOwnership({kind: 'message', peer, message}, at);
        return true;
      default:
        return false;
    }
  }

  private handleOwnershipEffect(effect: CellOwnershipEffect, at: number): void {
    switch (effect.kind) {
      case 'store-call': {
        const {request, call} = effect;
        this.effects.push({kind: 'ownership-store', cell: this.cell, request, call});
        break;
      }
      case 'send':
        this.effects.push({...effect, channel: 'control'});
        break;
      case 'ownership':
        this.currentMode = effect.mode;
        this.reduceScheduler(effect, at);
        break;
      case 'fence-complete':
        this.reduceScheduler(effect, at);
        break;
      default:
        this.effects.push(effect);
    }
  }

  private handleSchedulerEffect(effect: CellSchedulerEffect): void {
    switch (effect.kind) {
      case 'send': {
        const {host, message} = effect;
        this.effects.push({kind: 'send', peer: host, channel: 'control', message});
        break;
      }
      case 'read-ledger':
      case 'write-ledger':
        this.effects.push({kind: 'ledger-store', cell: this.cell, call: effect});
        break;
      default:
        this.effects.push(effect);
    }
  }
}
