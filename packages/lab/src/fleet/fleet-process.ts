import {
  ConfigurationView,
  type ConfigurationEffect,
  type ConfigurationEvent,
  type ConfigurationViewOptions,
  type Hello,
} from '@chervilbeam/coordination';
import type {Place} from './fleet-traffic.js';

/** Confirmation as its operator learned it. */
export type ConfirmedEffect = Extract<ConfigurationEffect, {kind: 'confirmed'}>;

/** One process of a `ConfigurationFleet`; a restart gives it a new life and a new reducer. */
export class FleetProcess implements Place {
  view: ConfigurationView;
  life = 1;
  isAlive = true;
  /** Time at which the present life began. */
  startedAt = 0;
  isCutFromStore = false;
  readonly counts = new Map<string, number>();
  /** Time at which each version came into force in the present life. */
  readonly inForceAt = new Map<number, number>();
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

  /** Version in force in this process. */
  get version(): number {
    return this.view.configuration.version;
  }

  /** What it says of itself in a handshake. */
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

  /** Begins a new life without memory. */
  restart(): void {
    this.life++;
    this.startedAt = this.getTime();
    this.isAlive = true;
    this.inForceAt.clear();
    this.connected.clear();
    const incarnation = this.options.incarnation + this.life * 1000;
    this.view = new ConfigurationView({...this.options, incarnation, seed: incarnation});
  }

  /** Gives an event to the reducer and keeps what the checks need of its effects. */
  reduce(event: ConfigurationEvent): readonly ConfigurationEffect[] {
    const before = this.version;
    const effects = this.view.reduce(event, this.getTime());
    if (this.version < before) {
      throw new Error(`${this.name} went back from version ${before} to ${this.version}`);
    }
    for (let version = before + 1; version <= this.version; version++) {
      this.inForceAt.set(version, this.getTime());
    }
    for (const effect of effects) {
      if (effect.kind !== 'count') continue;
      this.counts.set(effect.name, (this.counts.get(effect.name) ?? 0) + effect.by);
    }
    return effects;
  }
}
