import {
  ConfigurationView,
  type ConfigurationEffect,
  type ConfigurationEvent,
  type ConfigurationViewOptions,
  type Hello,
} from '@chervilbeam/coordination';
import type {ProcessLocation} from './fleet-traffic.js';

/** Outcome of a confirmation, as reported to its operator. */
export type ConfirmedEffect = Extract<ConfigurationEffect, {kind: 'confirmed'}>;

/** One process of a `ConfigurationFleet`; a restart gives it a new incarnation and a new reducer. */
export class FleetProcess implements ProcessLocation {
  /** Reducer of the current incarnation. */
  view: ConfigurationView;
  /** Number of the current incarnation, starting at 1. */
  life = 1;
  isAlive = true;
  /** Virtual time at which the current incarnation started. */
  startedAt = 0;
  /** Whether the process cannot reach the store: its calls and their answers are lost. */
  isCutFromStore = false;
  /** Totals of the reducers' counters over all incarnations, by name. */
  readonly counts = new Map<string, number>();
  /** Virtual time at which each configuration version came into force in the current incarnation. */
  readonly inForceTimeByVersion = new Map<number, number>();
  /** Names of the connected peers. */
  readonly connected = new Set<string>();

  constructor(
    readonly options: ConfigurationViewOptions,
    private readonly getTime: () => number,
  ) {
    this.view = new ConfigurationView(options);
  }

  get name(): string {
    return this.options.name;
  }

  get role(): 'entry' | 'agent' {
    return this.options.role;
  }

  get region(): string {
    return this.options.region;
  }

  get dataCentre(): string {
    return this.options.dataCentre;
  }

  /** Configuration version in force in this process. */
  get version(): number {
    return this.view.configuration.version;
  }

  /** Returns the handshake message of the process. */
  getHello(): Hello {
    const {role, dataCentre, region, name, incarnation} = this.options;
    const shared = {kind: 'hello', protocol: 1, deployment: 'fleet', peers: []} as const;
    const configVersion = this.version;
    return {
      ...shared,
      role,
      dataCentre,
      region,
      name,
      incarnation: incarnation + this.life * 1000,
      purpose: 'control',
      configVersion,
    };
  }

  /** Starts a new incarnation with empty state. */
  restart(): void {
    this.life++;
    this.startedAt = this.getTime();
    this.isAlive = true;
    this.inForceTimeByVersion.clear();
    this.connected.clear();
    const incarnation = this.options.incarnation + this.life * 1000;
    this.view = new ConfigurationView({...this.options, incarnation, seed: incarnation});
  }

  /**
   * Passes an event to the reducer, and records its counters and the versions that come into force. Throws an `Error`
   * if the version in force decreases.
   */
  reduce(event: ConfigurationEvent): readonly ConfigurationEffect[] {
    const before = this.version;
    const effects = this.view.reduce(event, this.getTime());
    if (this.version < before) {
      throw new Error(
        `configuration version of ${this.name} decreased from ${before} to ${this.version}`,
      );
    }
    for (let version = before + 1; version <= this.version; version++) {
      this.inForceTimeByVersion.set(version, this.getTime());
    }
    for (const effect of effects) {
      if (effect.kind !== 'count') continue;
      this.counts.set(effect.name, (this.counts.get(effect.name) ?? 0) + effect.by);
    }
    return effects;
  }
}
