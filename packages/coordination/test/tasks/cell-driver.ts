import type {Configuration, Workload} from '../../src/configuration/document.js';
import type {AttemptReport} from '../../src/messages/control.js';
import {
  CellScheduler,
  type CellSchedulerEffect,
  type CellSchedulerEvent,
  type SchedulerMessage,
} from '../../src/tasks/index.js';

/** Returns a batch job with the given changes. */
export function createWorkload(change: Partial<Workload> & {readonly name: string}): Workload {
  return {
    kind: 'batch',
    team: 'press',
    urgency: 'normal',
    grant: {slots: 0, processors: 0},
    resources: {processors: 4_000, memoryMb: 1_000, accelerators: 0, slots: 0},
    tasks: 4,
    runTimeSeconds: 20,
    checkpointSeconds: 5,
    ...change,
  };
}

/** Returns a configuration of the workloads. */
export function createConfiguration(
  version: number,
  workloads: readonly Workload[],
  drains: readonly string[] = [],
): Configuration {
  return {
    version,
    workloads: new Map(workloads.map(workload => [workload.name, workload])),
    teams: new Map(),
    drains: new Set(drains),
  };
}

/** Drives a scheduler that owns its cell, with a store that answers at once and hosts with 16 cores. */
export class CellDriver {
  readonly scheduler = new CellScheduler({cell: 'main'});
  readonly sent: Array<{readonly host: string; readonly message: SchedulerMessage}> = [];
  at = 0;
  /** Whether the store answers. */
  storeUp = true;
  private revision = 0;

  constructor(hosts: readonly string[]) {
    this.handle({kind: 'ownership', mode: 'owner', term: 1});
    this.handle({kind: 'fence-complete', unreportedBlockedUntil: 0});
    for (const host of hosts) this.connect(host);
  }

  /** Applies an event and handles the effects. */
  handle(event: CellSchedulerEvent): void {
    for (const effect of this.scheduler.reduce(event, this.at)) this.applyEffect(effect);
  }

  /** Advances the time, then sends a heartbeat of each host and a tick. */
  tick(ms: number): void {
    this.at += ms;
    for (const host of this.scheduler.getState().hosts.keys()) {
      const message = {kind: 'heartbeat', stamp: this.at, configVersion: 0, inFlight: 0} as const;
      this.handle({kind: 'heartbeat', host, message});
    }
    this.handle({kind: 'tick', wallTimeMs: this.at});
  }

  /** Sends a report of one attempt from a host. */
  report(host: string, attempt: AttemptReport): void {
    const message = {kind: 'report', full: false, attempts: [attempt]} as const;
    this.handle({kind: 'report', host, message});
  }

  /** Reports every started attempt as running and clears the sent messages. */
  confirmStarts(): void {
    for (const {host, message} of this.sent.splice(0)) {
      if (message.kind !== 'start') continue;
      const {task, attempt} = message;
      this.report(host, {task, attempt, state: 'running'});
    }
  }

  /** Returns the sent messages of a kind. */
  getSent<K extends SchedulerMessage['kind']>(kind: K) {
    return this.sent.flatMap(({host, message}) =>
      message.kind === kind
        ? [{host, message: message as Extract<SchedulerMessage, {kind: K}>}]
        : [],
    );
  }

  private connect(host: string): void {
    const hello = {
      kind: 'hello',
      protocol: 1,
      deployment: 'test',
      role: 'agent',
      dataCentre: 'west',
      region: 'test',
      name: host,
      incarnation: 1,
      purpose: 'control',
      peers: [],
      configVersion: 0,
    } as const;
    const announce = {
      kind: 'announce',
      host,
      rack: 'rack',
      capacity: {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8},
      services: [],
      slots: 8,
      connections: 64,
      draining: false,
    } as const;
    this.handle({kind: 'host-up', host, hello, announce});
    this.handle({kind: 'report', host, message: {kind: 'report', full: true, attempts: []}});
  }

  private applyEffect(effect: CellSchedulerEffect): void {
    if (effect.kind === 'send') {
      this.sent.push({host: effect.host, message: effect.message});
    } else if (effect.kind === 'read-ledger' && this.storeUp) {
      this.handle({kind: 'ledger-read', revision: this.revision});
    } else if (effect.kind === 'write-ledger' && this.storeUp) {
      this.revision += 1;
      const {sequence} = effect;
      this.handle({kind: 'ledger-written', sequence, result: 'written', revision: this.revision});
    }
  }
}
