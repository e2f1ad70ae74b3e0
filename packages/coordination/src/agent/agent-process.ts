import {ConfigurationView} from '../configuration/view/configuration-view.js';
import type {ConfigurationEvent} from '../configuration/view/events.js';
import type {ProcessMessage} from '../entry/entry-process-events.js';
import type {Announce} from '../messages/control.js';
import type {Resources} from '../messages/identity.js';
import type {Reducer} from '../reducer.js';
import type {AgentExchangesEffect, AgentExchangesEvent} from '../requests/agent-events.js';
import {AgentExchanges} from '../requests/agent-exchanges.js';
import {AgentTasks} from '../tasks/agent-tasks.js';
import type {AgentTasksEvent} from '../tasks/events.js';
import type {AgentProcessEffect, AgentProcessEvent} from './agent-process-events.js';

/** Options of `AgentProcess`. */
export interface AgentProcessOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly incarnation: number;
  /** Seed of all random choices. */
  readonly seed: number;
}

/** Interval of the ticks for tasks and configuration; exchanges receive every tick. */
const slowTickMs = 100;

/** Reducer of an agent: exchanges with backend servers, tasks at the worker, and configuration. */
export class AgentProcess implements Reducer<AgentProcessEvent, AgentProcessEffect> {
  /** Configuration as known to this agent. */
  readonly view: ConfigurationView;
  /** Tasks on the host. */
  readonly tasks = new AgentTasks();
  private readonly exchanges: AgentExchanges;
  private readonly controlPeers = new Set<string>();
  private announce: Announce | undefined;
  private effects: AgentProcessEffect[] = [];
  private slowTickAt = -Infinity;

  constructor(options: AgentProcessOptions) {
    const {name: host, rack, capacity} = options;
    this.view = new ConfigurationView({role: 'agent', ...options});
    this.exchanges = new AgentExchanges({host, rack, capacity});
  }

  /** @inheritdoc */
  reduce(event: AgentProcessEvent, at: number): readonly AgentProcessEffect[] {
    this.effects = [];
    this.apply(event, at);
    return this.effects;
  }

  private apply(event: AgentProcessEvent, at: number): void {
    switch (event.kind) {
      case 'message':
        return this.receive(event, at);
      case 'control-up':
        this.controlPeers.add(event.peer);
        if (this.announce) this.sendControl(event.peer, this.announce);
        this.reduceConfiguration({...event, kind: 'peer-up'}, at);
        return this.reduceTasks({...event, kind: 'peer-up'}, at);
      case 'control-down':
        this.controlPeers.delete(event.peer);
        this.reduceConfiguration({...event, kind: 'peer-down'}, at);
        return this.reduceTasks({...event, kind: 'peer-down'}, at);
      case 'worker-state':
      case 'worker-unreachable':
      case 'worker-result':
      case 'worker-usage':
        return this.reduceTasks(event, at);
      case 'tick':
        this.exchange(event, at);
        return this.slowTick(at);
      default:
        return this.exchange(event, at);
    }
  }

  private slowTick(at: number): void {
    if (at - this.slowTickAt < slowTickMs) return;
    this.slowTickAt = at;
    this.reduceConfiguration({kind: 'tick'}, at);
    this.reduceTasks({kind: 'tick', configVersion: this.view.configuration.version}, at);
  }

  private receive(event: ProcessMessage, at: number): void {
    const {peer, message, body} = event;
    if ('id' in message) {
      return this.exchange({kind: 'message', peer, message, ...(body && {body})}, at);
    }
    switch (message.kind) {
      case 'config':
        return this.reduceConfiguration({kind: 'config', peer, message}, at);
      case 'config-request':
        return this.reduceConfiguration({kind: 'config-request', peer, message}, at);
      case 'grant':
      case 'start':
      case 'stop':
      case 'throttle':
      case 'acknowledge':
        return this.reduceTasks({kind: 'message', peer, message}, at);
      default:
        this.effects.push({kind: 'count', name: 'refused-unexpected-kind', by: 1});
    }
  }

  /** Passes an event to the exchange reducer and handles its effects. */
  private exchange(event: AgentExchangesEvent, at: number): void {
    for (const effect of this.exchanges.reduce(event, at)) this.handleExchangesEffect(effect);
  }

  private handleExchangesEffect(effect: AgentExchangesEffect): void {
    switch (effect.kind) {
      case 'send':
        // Every entry receives the announcement on its control connection, when that opens and after each change.
        if (effect.message.kind !== 'announce') this.effects.push({...effect, channel: 'data'});
        else this.sendControl(effect.peer, effect.message);
        return;
      case 'announce':
        this.announce = effect.message;
        for (const peer of this.controlPeers) this.sendControl(peer, effect.message);
        return;
      default:
        this.effects.push(effect);
    }
  }

  private sendControl(peer: string, message: Announce): void {
    this.effects.push({kind: 'send', peer, channel: 'control', message});
  }

  private reduceTasks(event: AgentTasksEvent, at: number): void {
    for (const effect of this.tasks.reduce(event, at)) {
      if (effect.kind === 'send') this.effects.push({...effect, channel: 'control'});
      else this.effects.push(effect);
    }
  }

  private reduceConfiguration(event: ConfigurationEvent, at: number): void {
    for (const effect of this.view.reduce(event, at)) {
      if (effect.kind === 'send') {
        this.effects.push({...effect, channel: 'control'});
      } else if (effect.kind === 'configuration') {
        this.exchange(effect, at);
      } else if (effect.kind === 'count' || effect.kind === 'observe' || effect.kind === 'record') {
        this.effects.push(effect);
      }
    }
  }
}
