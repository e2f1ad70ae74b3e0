import type {Configuration, Resources, Workload} from '@chervilbeam/coordination';
import {EventQueue} from './event-queue.js';
import {VirtualEntry, type EntryEnvironment} from './virtual-entry.js';
import {VirtualHost, type VirtualHostPlace} from './virtual-host.js';
import {VirtualStore} from './virtual-store.js';
import {VirtualWorker, type TaskBehaviour} from './virtual-worker.js';

/** Settings of a virtual fleet. */
export interface VirtualFleetOptions {
  readonly entries: ReadonlyArray<{
    readonly name: string;
    readonly dataCentre: string;
    /** Rate of the entry's clock relative to virtual time; 1, the default, means no drift. */
    readonly clockRate?: number;
  }>;
  readonly hosts: ReadonlyArray<VirtualHostPlace & {readonly capacity: Resources}>;
  /** Returns the behaviour of a task by its workload and its index in it. */
  readonly getBehaviour: (workload: string, index: number) => TaskBehaviour;
}

/** Delay of a message in one direction. */
const networkDelayMs = 1.5;
/** Time until a process learns that a connection was opened or closed. */
const connectionDelayMs = 200;

/**
 * Entries that compete for the ownership of one cell, with hosts and a store, in virtual time. Data centres can be
 * partitioned from each other and from the store.
 */
export class VirtualFleet implements EntryEnvironment {
  readonly queue = new EventQueue();
  readonly store = new VirtualStore();
  readonly entries = new Map<string, VirtualEntry>();
  readonly hosts = new Map<string, VirtualHost>();
  /** Number of start messages sent to hosts. */
  starts = 0;
  /** Data centres that are partitioned from all others; their store calls are not affected. */
  private readonly cut = new Set<string>();
  /** Data centres whose store calls have no effect and get no answer. */
  private readonly dataCentresCutFromStore = new Set<string>();
  private configuration: Configuration = {
    version: 1,
    workloads: new Map(),
    teams: new Map(),
    drains: new Set(),
  };

  constructor(options: VirtualFleetOptions) {
    options.entries.forEach(({name, dataCentre, clockRate}, position) => {
      const registered = {name, dataCentre, incarnation: position + 1, address: name};
      this.entries.set(name, new VirtualEntry(registered, this, clockRate));
    });
    for (const [position, entry] of options.hosts.entries()) {
      const worker = new VirtualWorker(entry.capacity, options.getBehaviour);
      const host = new VirtualHost(entry, worker, this.queue, (peer, message) => {
        this.deliver(entry.dataCentre, this.getEntry(peer).registered.dataCentre, () =>
          this.getEntry(peer).run(() => {
            const to = this.getEntry(peer);
            if (message.kind === 'report')
              to.handleScheduler({kind: 'report', host: entry.name, message});
            else to.handleScheduler({kind: 'heartbeat', host: entry.name, message});
          }),
        );
      });
      this.hosts.set(entry.name, host);
      // Spreads the ticks of the hosts over the tick interval of 500 ms.
      host.start((position * 37) % 500);
    }
    const entries = [...this.entries.values()].map(entry => entry.registered);
    for (const entry of this.entries.values()) {
      entry.handleOwnership({kind: 'entries', entries});
      for (const peer of this.entries.values())
        if (peer !== entry) this.connectEntries(entry, peer);
      for (const host of this.hosts.values()) this.connectHost(entry, host);
    }
  }

  /** Returns an entry; throws an `Error` for an unknown name. */
  getEntry(name: string): VirtualEntry {
    const entry = this.entries.get(name);
    if (!entry) throw new Error(`no entry named ${name}`);
    return entry;
  }

  /** The running entry whose ownership mode is not `none`, if any. */
  get owner(): VirtualEntry | undefined {
    return [...this.entries.values()].find(
      entry => !entry.isDead && !entry.isPaused && entry.mode !== 'none',
    );
  }

  /** Replaces the workloads at all entries by a new configuration version. */
  configure(workloads: readonly Workload[]): void {
    this.configuration = {
      ...this.configuration,
      version: this.configuration.version + 1,
      workloads: new Map(workloads.map(workload => [workload.name, workload])),
    };
    const {configuration} = this;
    for (const entry of this.entries.values()) {
      entry.run(() => entry.handleScheduler({kind: 'configuration', configuration}));
    }
  }

  /** Kills an entry; its hosts and peers see the connection close at once. */
  killEntry(name: string): void {
    const entry = this.getEntry(name);
    entry.isDead = true;
    for (const host of this.hosts.values()) host.handle({kind: 'peer-down', peer: name});
    for (const peer of this.entries.values()) {
      if (peer !== entry) peer.run(() => peer.handleOwnership({kind: 'peer-down', peer: name}));
    }
  }

  /** Partitions a data centre from the others, or reconnects it. A partition drops the messages in transit. */
  setPartitioned(dataCentre: string, cut: boolean): void {
    if (cut) this.cut.add(dataCentre);
    else this.cut.delete(dataCentre);
    for (const entry of this.entries.values()) {
      for (const peer of this.entries.values()) {
        if (
          !this.isExternalLinkOf(
            entry.registered.dataCentre,
            peer.registered.dataCentre,
            dataCentre,
          )
        )
          continue;
        if (cut) this.disconnectEntries(entry, peer);
        else this.connectEntries(entry, peer);
      }
      for (const host of this.hosts.values()) {
        if (!this.isExternalLinkOf(entry.registered.dataCentre, host.place.dataCentre, dataCentre))
          continue;
        if (cut) this.disconnectHost(entry, host);
        else this.connectHost(entry, host);
      }
    }
  }

  /** Cuts the processes of a data centre off from the store, or reconnects them. */
  setCutFromStore(dataCentre: string, cut: boolean): void {
    if (cut) this.dataCentresCutFromStore.add(dataCentre);
    else this.dataCentresCutFromStore.delete(dataCentre);
  }

  /** Runs until a virtual time in milliseconds. */
  runUntil(at: number): void {
    this.queue.runUntil(at);
  }

  /** @inheritdoc */
  callStore(entry: VirtualEntry, call: Parameters<VirtualStore['call']>[0]) {
    if (this.dataCentresCutFromStore.has(entry.registered.dataCentre)) return undefined;
    return this.store.call(call, this.queue.now);
  }

  /** @inheritdoc */
  sendToHost(
    entry: VirtualEntry,
    host: string,
    message: Parameters<VirtualHost['receive']>[1],
  ): void {
    const to = this.hosts.get(host);
    if (!to) return;
    if (message.kind === 'start') this.starts += 1;
    const {name, dataCentre} = entry.registered;
    this.deliver(dataCentre, to.place.dataCentre, () => to.receive(name, message));
  }

  /** @inheritdoc */
  sendToEntry(
    entry: VirtualEntry,
    peer: string,
    message: Parameters<EntryEnvironment['sendToEntry']>[2],
  ): void {
    const to = this.getEntry(peer);
    const from = entry.registered;
    this.deliver(from.dataCentre, to.registered.dataCentre, () =>
      to.run(() => to.handleOwnership({kind: 'message', peer: from.name, message})),
    );
  }

  private arePartitioned(a: string, b: string): boolean {
    return a !== b && (this.cut.has(a) || this.cut.has(b));
  }

  private isExternalLinkOf(a: string, b: string, dataCentre: string): boolean {
    return a !== b && (a === dataCentre || b === dataCentre);
  }

  private deliver(from: string, to: string, action: () => void): void {
    if (this.arePartitioned(from, to)) return;
    this.queue.after(networkDelayMs, () => {
      if (!this.arePartitioned(from, to)) action();
    });
  }

  private connectEntries(entry: VirtualEntry, peer: VirtualEntry): void {
    const {name} = peer.registered;
    this.queue.after(connectionDelayMs, () =>
      entry.run(() => entry.handleOwnership({kind: 'peer-up', peer: name, hello: peer.getHello()})),
    );
  }

  private disconnectEntries(entry: VirtualEntry, peer: VirtualEntry): void {
    const {name} = peer.registered;
    this.queue.after(connectionDelayMs, () =>
      entry.run(() => entry.handleOwnership({kind: 'peer-down', peer: name})),
    );
  }

  private connectHost(entry: VirtualEntry, host: VirtualHost): void {
    this.queue.after(connectionDelayMs, () =>
      entry.run(() => {
        const {name} = host.place;
        const announce = host.getAnnounce();
        entry.handleScheduler({kind: 'host-up', host: name, hello: host.getHello(), announce});
        host.handle({kind: 'peer-up', peer: entry.registered.name});
      }),
    );
  }

  private disconnectHost(entry: VirtualEntry, host: VirtualHost): void {
    this.queue.after(connectionDelayMs, () => {
      host.handle({kind: 'peer-down', peer: entry.registered.name});
      entry.run(() => entry.handleScheduler({kind: 'host-down', host: host.place.name}));
    });
  }
}
