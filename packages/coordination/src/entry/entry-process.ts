import type {Configuration} from '../configuration/document.js';
import {ConfigurationView} from '../configuration/view/configuration-view.js';
import type {ConfigurationEffect, ConfigurationEvent} from '../configuration/view/events.js';
import type {Hello, Summary} from '../messages/control.js';
import type {Reducer} from '../reducer.js';
import type {EntryRequestsEffect, EntryRequestsEvent} from '../requests/entry-events.js';
import {EntryRequests} from '../requests/entry-requests.js';
import {mergeSummary} from '../routing/summaries.js';
import type {
  EntryProcessEffect,
  EntryProcessEvent,
  ProcessMessage,
} from './entry-process-events.js';
import {getWorkloadStatuses} from '../tasks/workload-status.js';
import {FinishedJobs} from './finished-jobs.js';
import {ScheduledCell} from './scheduled-cell.js';

/** Options of `EntryProcess`. */
export interface EntryProcessOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly incarnation: number;
  /** Monotonic time at which the process started. */
  readonly startedAt: number;
  /** Seed of all random choices. */
  readonly seed: number;
  /** Cells that this entry may own; the owner of the first one compacts the configuration log. */
  readonly cells: readonly string[];
  /** Time after `drain` during which new requests are still served. */
  readonly settleMs: number;
}

/** Interval of the ticks for configuration and cells; requests receive every tick. */
const slowTickMs = 100;

/** Reducer of an entry: requests, configuration, and the ownership and scheduling of cells. */
export class EntryProcess implements Reducer<EntryProcessEvent, EntryProcessEffect> {
  /** Configuration as known to this entry. */
  readonly view: ConfigurationView;
  /** Cells that this entry may own. */
  readonly cells: readonly ScheduledCell[];
  private readonly requests: EntryRequests;
  /** Handshakes of the processes with an open control connection. */
  private readonly control = new Map<string, Hello>();
  /** Entries with an open data connection. */
  private readonly entries = new Set<string>();
  /** Summaries by peer, because one may arrive on the control connection before the data connection opens. */
  private readonly summaries = new Map<string, Summary>();
  private effects: EntryProcessEffect[] = [];
  private slowTickAt = -Infinity;
  private isCompactor = false;
  private readonly finishedJobs: FinishedJobs;
  private lastRemovalRequest = 0;

  constructor(options: EntryProcessOptions) {
    const {name: entry, cells, ...rest} = options;
    this.view = new ConfigurationView({role: 'entry', ...options});
    this.finishedJobs = new FinishedJobs({prefix: `${entry}-${options.incarnation.toString(36)}`});
    this.requests = new EntryRequests(rest);
    this.cells = cells.map(cell => new ScheduledCell({cell, entry, ...rest}));
  }

  /** @inheritdoc */
  reduce(event: EntryProcessEvent, at: number): readonly EntryProcessEffect[] {
    this.effects = [];
    this.apply(event, at);
    for (const cell of this.cells) this.effects.push(...cell.takeEffects());
    return this.effects;
  }

  private apply(event: EntryProcessEvent, at: number): void {
    switch (event.kind) {
      case 'caller-request':
      case 'caller-gone':
        return this.request(event, at);
      case 'message':
        return this.receive(event, at);
      case 'tick':
        return this.tick(event.wallTimeMs, at);
      case 'control-up':
        this.control.set(event.peer, event.hello);
        this.reduceConfiguration({...event, kind: 'peer-up'}, at);
        for (const cell of this.cells) cell.connect(event.peer, event.hello, at);
        if (event.hello.role === 'entry') this.sendSummary(event.peer);
        return;
      case 'control-down':
        return this.disconnect(event.peer, at);
      case 'peer-up':
        return this.connect(event.peer, event.hello, at);
      case 'peer-down':
        this.entries.delete(event.peer);
        return this.request(event, at);
      case 'configuration-store':
        return this.reduceConfiguration(event.event, at);
      case 'confirm':
        return this.reduceConfiguration(event, at);
      case 'ownership-store':
        return this.getCell(event.cell)?.reduceOwnership(event.event, at);
      case 'ledger-store':
        return this.getCell(event.cell)?.reduceScheduler(event.event, at);
      case 'store-reachable':
      case 'entries':
        for (const cell of this.cells) cell.reduceOwnership(event, at);
        return;
      case 'loss':
        for (const cell of this.cells) {
          cell.reduceOwnership(event, at);
          cell.reduceScheduler({kind: 'loss', host: event.name}, at);
        }
        return;
      case 'drain':
        for (const cell of this.cells) cell.reduceOwnership(event, at);
        return this.request(event, at);
    }
  }

  private getCell(name: string): ScheduledCell | undefined {
    return this.cells.find(({cell}) => cell === name);
  }

  private connect(peer: string, hello: Hello, at: number): void {
    if (hello.role === 'entry') this.entries.add(peer);
    this.request({kind: 'peer-up', peer, hello}, at);
    const message = this.summaries.get(peer);
    if (message) this.request({kind: 'summary', peer, message}, at);
  }

  private disconnect(peer: string, at: number): void {
    const hello = this.control.get(peer);
    this.control.delete(peer);
    this.summaries.delete(peer);
    this.reduceConfiguration({kind: 'peer-down', peer}, at);
    for (const cell of this.cells) cell.disconnect(peer, hello?.role ?? 'entry', at);
  }

  private tick(wallTimeMs: number, at: number): void {
    this.request({kind: 'tick'}, at);
    if (at - this.slowTickAt < slowTickMs) return;
    this.slowTickAt = at;
    this.reduceConfiguration({kind: 'tick'}, at);
    for (const cell of this.cells) {
      cell.reduceOwnership({kind: 'tick'}, at);
      cell.reduceScheduler({kind: 'tick', wallTimeMs}, at);
    }
    this.removeFinishedJobs(at);
    const isCompactor = this.cells[0]?.mode === 'owner';
    if (isCompactor === this.isCompactor) return;
    this.isCompactor = isCompactor;
    this.reduceConfiguration({kind: 'compactor', isActive: isCompactor}, at);
  }

  private removeFinishedJobs(at: number): void {
    const ownedCells = this.cells.filter(({mode}) => mode === 'owner');
    if (ownedCells.length === 0 || !this.finishedJobs.isDue(at)) return;
    const workloads = ownedCells.flatMap(({scheduler}) => getWorkloadStatuses(scheduler));
    const plan = this.finishedJobs.createRemovalPlan(this.view.configuration, workloads, at);
    if (!plan) return;
    // Negative, because the requests of operators are numbered from 1 upwards.
    this.lastRemovalRequest -= 1;
    this.reduceConfiguration({kind: 'confirm', request: this.lastRemovalRequest, plan}, at);
  }

  private receive(event: ProcessMessage, at: number): void {
    const {peer, channel, message, body} = event;
    if ('id' in message) {
      return this.request({kind: 'message', peer, message, ...(body && {body})}, at);
    }
    switch (message.kind) {
      case 'config':
        return this.reduceConfiguration({kind: 'config', peer, message}, at);
      case 'config-request':
        return this.reduceConfiguration({kind: 'config-request', peer, message}, at);
      case 'summary':
        this.summaries.set(peer, mergeSummary(this.summaries.get(peer), message));
        return this.request({kind: 'summary', peer, message}, at);
      case 'announce':
        this.request({kind: 'announce', peer, message}, at);
        break;
      case 'heartbeat':
        this.reduceConfiguration({kind: 'heartbeat', peer, message}, at);
        // Only a heartbeat on the data connection shows that the data path of the host works.
        if (channel === 'data') return this.request({kind: 'heartbeat', peer, message}, at);
    }
    let isHandled = false;
    for (const cell of this.cells) isHandled = cell.receive(peer, message, at) || isHandled;
    if (!isHandled) this.effects.push({kind: 'count', name: 'refused-unexpected-kind', by: 1});
  }

  /** Passes an event to the request reducer and handles its effects. */
  private request(event: EntryRequestsEvent, at: number): void {
    for (const effect of this.requests.reduce(event, at)) this.handleRequestsEffect(effect);
  }

  /** Sends the full summary on a new control connection, because the peer discards it when the connection closes. */
  private sendSummary(peer: string): void {
    const message = this.requests.getSummary();
    this.effects.push({kind: 'send', peer, channel: 'control', message});
  }

  private handleRequestsEffect(effect: EntryRequestsEffect): void {
    switch (effect.kind) {
      case 'send':
        this.effects.push({...effect, channel: 'data'});
        return;
      case 'summary':
        for (const peer of effect.to === undefined ? this.entries : [effect.to]) {
          this.effects.push({kind: 'send', peer, channel: 'control', message: effect.message});
        }
        return;
      default:
        this.effects.push(effect);
    }
  }

  /** Passes an event to the configuration view and handles its effects. */
  private reduceConfiguration(event: ConfigurationEvent, at: number): void {
    for (const effect of this.view.reduce(event, at)) this.handleConfigurationEffect(effect, at);
  }

  private handleConfigurationEffect(effect: ConfigurationEffect, at: number): void {
    if ('key' in effect) {
      this.effects.push({kind: 'configuration-store', call: effect});
    } else if (effect.kind === 'send') {
      this.effects.push({...effect, channel: 'control'});
    } else if (effect.kind === 'configuration') {
      this.applyConfiguration(effect.configuration, at);
    } else {
      this.effects.push(effect);
    }
  }

  private applyConfiguration(configuration: Configuration, at: number): void {
    this.request({kind: 'configuration', configuration}, at);
    for (const cell of this.cells) cell.configure(configuration, at);
  }
}
