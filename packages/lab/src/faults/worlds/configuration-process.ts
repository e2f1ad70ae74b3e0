import {
  ConfigurationView,
  type Config,
  type Configuration,
  type ConfigRequest,
  type ConfigurationEffect,
  type ConfigurationEvent,
  type ConfirmedPlan,
} from '@chervilbeam/coordination';
import {SimulatedProcess, type ProcessOptions} from '../kernel/simulated-process.js';
import type {Endpoint, SimulatedNetwork} from '../kernel/simulated-network.js';
import type {SimulatedStore, StoreCall, StoreReply} from '../kernel/simulated-store.js';
import type {Simulation} from '../kernel/simulation.js';
import {createHello} from './hello.js';

/** Messages of the configuration protocol; heartbeats are reduced to the version that they carry. */
export type ConfigurationMessage =
  Config | ConfigRequest | {readonly kind: 'heartbeat'; readonly configVersion: number};

/** Configuration reducer of a process; tests substitute faulty ones. */
export interface ConfigurationReducer {
  readonly configuration: Configuration;
  reduce(event: ConfigurationEvent, at: number): readonly ConfigurationEffect[];
}

/** Creates the reducer when a process starts. */
export type ConfigurationReducerFactory = (process: ConfigurationProcess) => ConfigurationReducer;

const createConfigurationView: ConfigurationReducerFactory = process => {
  const {name, role, dataCentre, region} = process.options;
  return new ConfigurationView({
    ...{name, role, dataCentre, region},
    incarnation: process.incarnation,
    seed: 1 + (process.incarnation % 0x7fffffff),
    compactAtChanges: 10,
  });
};

const heartbeatIntervalMs = 1_000;

/** Operator who repeats a confirmation whose outcome is unknown. */
export interface ConfigurationOperator {
  /** Confirms a plan again after its outcome was unknown. */
  repeat(plan: ConfirmedPlan): void;
  /** Returns whether an earlier confirmation of the change had an unknown outcome. */
  isInDoubt(changeId: string): boolean;
}

/** Simulated process that runs only the reducer `ConfigurationView`. */
export class ConfigurationProcess
  extends SimulatedProcess
  implements Endpoint<ConfigurationMessage>
{
  readonly #peers = new Map<string, 'entry' | 'agent'>();
  readonly #plans = new Map<number, ConfirmedPlan>();
  #reducer!: ConfigurationReducer;
  #requestCount = 0;
  #lastHeartbeatAt = 0;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<ConfigurationMessage>,
    private readonly store: SimulatedStore,
    private readonly isCompactor: boolean,
    private readonly operator: ConfigurationOperator,
    private readonly createReducer: ConfigurationReducerFactory = createConfigurationView,
  ) {
    super(simulation, options);
  }

  /** Configuration version in force at this process. */
  get version(): number {
    return this.#reducer.configuration.version;
  }

  peerUp(peer: Endpoint<ConfigurationMessage>): void {
    this.#peers.set(peer.name, peer.options.role);
    const hello = createHello(peer, (peer as ConfigurationProcess).version);
    this.#apply({kind: 'peer-up', peer: peer.name, hello});
  }

  peerDown(peer: string): void {
    this.#peers.delete(peer);
    this.#apply({kind: 'peer-down', peer});
  }

  receive(
    peer: string,
    message: ConfigurationMessage,
    _body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void {
    if (message.kind === 'config') this.#apply({kind: 'config', peer, message}, beforeEffects);
    else if (message.kind === 'heartbeat')
      this.#apply({kind: 'heartbeat', peer, message}, beforeEffects);
    else this.#apply({kind: 'config-request', peer, message}, beforeEffects);
  }

  /** Submits a plan that an operator confirmed. */
  confirm(plan: ConfirmedPlan): void {
    this.deliver(() => {
      const request = ++this.#requestCount;
      this.#plans.set(request, plan);
      this.#apply({kind: 'confirm', request, plan});
    });
  }

  protected boot(): void {
    this.#peers.clear();
    this.#plans.clear();
    this.#reducer = this.createReducer(this);
    if (this.isCompactor) this.#apply({kind: 'compactor', isActive: true});
  }

  protected tick(): void {
    this.#apply({kind: 'tick'});
    if (
      this.options.role !== 'agent' ||
      this.simulation.now < this.#lastHeartbeatAt + heartbeatIntervalMs
    )
      return;
    this.#lastHeartbeatAt = this.simulation.now;
    for (const peer of this.#peers.keys()) {
      this.network.send(this.name, peer, {kind: 'heartbeat', configVersion: this.version});
    }
  }

  protected onEnd(): void {
    this.network.closeConnectionsOf(this.name);
  }

  #apply(event: ConfigurationEvent, beforeEffects?: () => void): void {
    const effects = this.#reducer.reduce(event, this.clock);
    this.executeEffects(effects, effect => this.#execute(effect), beforeEffects);
  }

  #execute(effect: ConfigurationEffect): void {
    switch (effect.kind) {
      case 'send':
        this.network.send(this.name, effect.peer, effect.message);
        break;
      case 'watch':
        this.#watch(effect.key, effect.after, effect.waitMs);
        break;
      case 'read-head':
      case 'read-snapshot':
        this.#callStore(effect.request, {kind: 'get', key: effect.key});
        break;
      case 'swap-head':
      case 'write-snapshot': {
        const {key, value, expectedRevision: expect} = effect;
        this.#callStore(effect.request, {kind: 'put', key, value, expect});
        break;
      }
      case 'configuration': {
        const {version, workloads} = effect.configuration;
        const digest = [...workloads.keys()].sort().join();
        this.simulation.record({
          kind: 'configuration-in-force',
          process: this.identity,
          version,
          digest,
        });
        break;
      }
      case 'confirmed':
        this.#handleConfirmation(effect);
        break;
      default:
    }
  }

  #handleConfirmation(effect: Extract<ConfigurationEffect, {kind: 'confirmed'}>): void {
    const plan = this.#plans.get(effect.request);
    this.#plans.delete(effect.request);
    const {changeId} = effect;
    if (effect.outcome === 'accepted') {
      const version = effect.version ?? -1;
      this.simulation.record({kind: 'configuration-accepted', version, changeId});
    } else if (effect.outcome === 'unknown') {
      if (plan) this.operator.repeat(plan);
    } else if (effect.outcome === 'unavailable' && this.operator.isInDoubt(changeId)) {
      // An earlier confirmation of the same plan may still take effect; only the outcome `refused` rules that out.
      if (plan) this.operator.repeat(plan);
    } else {
      this.simulation.record({kind: 'configuration-refused', changeId});
    }
  }

  #callStore(request: number, call: StoreCall): void {
    this.store.call(this, call, answer => this.#apply({kind: 'store-result', request, answer}));
  }

  #watch(key: string, after: number, waitMs: number): void {
    this.store.call(this, {kind: 'watch', key, after, waitMs}, reply =>
      this.#endWatch(after, reply),
    );
  }

  #endWatch(after: number, reply: StoreReply): void {
    if (reply.result !== 'ok') this.#apply({kind: 'watch-failed'});
    else if (reply.revision <= after) this.#apply({kind: 'watch-quiet'});
    else this.#apply({kind: 'head', value: reply.value, revision: reply.revision});
  }
}
