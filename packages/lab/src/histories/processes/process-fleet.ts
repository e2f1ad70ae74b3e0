import {fileURLToPath} from 'node:url';
import type {Settings} from '@chervilbeam/runtime';
import {
  DaemonProcess,
  allocatePorts,
  getMonotonicTimeMs,
  ManagedProcess,
  waitUntil,
  workerDefaults,
  type WorkerSettings,
} from '@chervilbeam/standins';
import type {HistoryEvent} from '../history-event.js';

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'at'> : never;

/** A daemon that may be restarted several times. */
export interface FleetDaemon {
  readonly name: string;
  readonly settings: Settings;
  daemon?: DaemonProcess;
  /** Number of the current incarnation, from 1; part of the process name in the history. */
  life: number;
  /** Whether the current incarnation was told to shut down. */
  stopping: boolean;
  /** Whether the current incarnation was frozen with SIGSTOP and not resumed. */
  isFrozen: boolean;
  /** Last incarnation that was killed on purpose; its exit does not count as a crash. */
  killedIncarnation?: number;
}

/** A process that stands in for the worker and the backend server of a host. */
interface FleetWorker {
  readonly settings: WorkerSettings;
  process?: ManagedProcess;
  /** Number of the current incarnation, from 1; makes the names of its exchanges unique. */
  life: number;
}

/** Service that all backend servers provide. */
export const fleetService = 'prices';

const capacity = {processors: 4_000, memoryMb: 8_000, accelerators: 0, slots: 8};
const startTimeoutMs = 15_000;

function getStandinModule(path: string): string {
  return fileURLToPath(new URL(path, import.meta.resolve('@chervilbeam/standins')));
}

/** Runs real daemons with stand-ins for the store and the workers, and records the history. */
export class ProcessFleet {
  /** Recorded events in the order in which they were received; their times count from the start of the fleet. */
  readonly events: HistoryEvent[] = [];
  readonly entries: FleetDaemon[] = [];
  readonly agents: FleetDaemon[] = [];
  /** Daemons that exited with an error without being killed, with their last output. */
  readonly crashes: string[] = [];
  readonly #workers = new Map<string, FleetWorker>();
  readonly #openRuns = new Map<string, HistoryEvent & {readonly kind: 'run-started'}>();
  readonly #openExchanges = new Map<string, string>();
  #store?: ManagedProcess;
  #isStopped = false;
  readonly #startedAtMs = getMonotonicTimeMs();

  /** Milliseconds since the start of the fleet. */
  get now(): number {
    return getMonotonicTimeMs() - this.#startedAtMs;
  }

  /** Records an event with the current time. */
  record(event: WithoutTime<HistoryEvent>): void {
    this.#add({...event, at: this.now} as HistoryEvent);
  }

  /** Starts the store, the entries, the agents and the workers, and waits until the daemons answer. */
  async start(entryCount: number, hostCount: number): Promise<void> {
    const ports = await allocatePorts(1 + entryCount * 3 + hostCount * 3);
    let nextPort = 0;
    const allocateAddress = () => `127.0.0.1:${ports[nextPort++]}`;
    const storeAddress = allocateAddress();
    this.#store = new ManagedProcess({
      name: 'store',
      module: getStandinModule('./store/main.js'),
      arguments: [storeAddress],
    });
    const location = {deployment: 'histories', region: 'north'};
    const entryAddresses = Array.from({length: entryCount}, () => ({
      callers: allocateAddress(),
      peers: allocateAddress(),
      control: allocateAddress(),
    }));
    const seeds = entryAddresses.map(listen => listen.peers);
    for (const [i, listen] of entryAddresses.entries()) {
      const dataCentre = i < 2 ? 'north-a' : 'north-b';
      const settings: Settings = {
        ...{...location, role: 'entry', name: `e${i + 1}`, dataCentre, listen, seeds},
        ...{store: `http://${storeAddress}`, cells: ['main'], settleMs: 1_000},
      };
      this.entries.push({name: settings.name, settings, life: 0, stopping: false, isFrozen: false});
    }
    for (let i = 0; i < hostCount; i++) {
      const name = `h${i + 1}`;
      const [control, workerListen, backendListen] = [
        allocateAddress(),
        allocateAddress(),
        allocateAddress(),
      ];
      const dataCentre = i < 2 ? 'north-a' : 'north-b';
      const settings: Settings = {
        ...{...location, role: 'agent', name, dataCentre, rack: `rack-${name}`},
        ...{listen: {control}, seeds, worker: `http://${workerListen}`},
      };
      this.agents.push({name, settings, life: 0, stopping: false, isFrozen: false});
      this.#workers.set(name, {
        life: 0,
        settings: {
          ...workerDefaults,
          ...{name, rack: `rack-${name}`, capacity, services: [fleetService]},
          ...{workerListen, backendListen, agent: `http://${control}`},
          runTimesMs: {print: 4_000},
        },
      });
    }
    for (const host of this.#workers.keys()) this.startWorker(host);
    await Promise.all([...this.entries, ...this.agents].map(member => this.startDaemon(member)));
  }

  /** Starts a daemon unless it runs, and records the start once it answers; throws after 15 s without an answer. */
  async startDaemon(member: FleetDaemon): Promise<void> {
    if (member.daemon?.process.isRunning) return;
    const life = ++member.life;
    const errors: string[] = [];
    const daemon = new DaemonProcess(member.settings, line => errors.push(line));
    member.daemon = daemon;
    void daemon.process.exited.then(status => {
      if (this.#isStopped || member.killedIncarnation === life || status === 0) return;
      this.record({kind: 'process-killed', process: `${member.name}#${life}`});
      this.crashes.push(
        `${member.name}#${life} ended with ${status}: ${errors.slice(-8).join(' | ')}`,
      );
    });
    member.stopping = false;
    member.isFrozen = false;
    await waitUntil(
      `${member.name} answers`,
      async () => {
        return !daemon.process.isRunning || (await daemon.getStatus()) !== undefined;
      },
      startTimeoutMs,
    );
    if (member.life !== life || !daemon.process.isRunning) return;
    this.record({kind: 'process-started', process: `${member.name}#${life}`});
    if (member.settings.role === 'agent') this.record({kind: 'host-returned', host: member.name});
  }

  /** Kills a daemon with SIGKILL. */
  kill(member: FleetDaemon): void {
    if (!member.daemon?.process.isRunning) return;
    member.killedIncarnation = member.life;
    member.daemon.process.signal('SIGKILL');
    this.record({kind: 'process-killed', process: `${member.name}#${member.life}`});
  }

  /** Freezes a daemon with SIGSTOP, or resumes it with SIGCONT. */
  setFrozen(member: FleetDaemon, isFrozen: boolean): void {
    if (!member.daemon?.process.isRunning) return;
    member.isFrozen = isFrozen;
    member.daemon.process.signal(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Tells a daemon to shut down and waits for its exit; only exit status 0 is recorded. */
  async stopGracefully(member: FleetDaemon): Promise<void> {
    if (!member.daemon?.process.isRunning) return;
    const process = `${member.name}#${member.life}`;
    member.stopping = true;
    this.record({kind: 'shutdown-began', process});
    if (member.settings.role === 'agent') this.record({kind: 'host-leaving', host: member.name});
    const result = await member.daemon.stop();
    if (result === 0) this.record({kind: 'process-exited', process});
  }

  /** Starts the worker and backend server of a host. */
  startWorker(host: string): void {
    const worker = this.#workers.get(host);
    if (!worker || worker.process?.isRunning) return;
    const life = ++worker.life;
    // A restarted backend server is not draining, even if the previous incarnation was.
    if (life > 1) this.record({kind: 'host-returned', host});
    worker.process = new ManagedProcess({
      name: `worker-${host}`,
      module: getStandinModule('./worker/main.js'),
      arguments: [JSON.stringify(worker.settings)],
      onLine: line => this.#observe(line, life),
    });
  }

  /** Kills the worker and backend server of a host, and records the end of its runs and exchanges. */
  async killWorker(host: string): Promise<void> {
    const worker = this.#workers.get(host);
    if (!worker?.process?.isRunning) return;
    worker.process.signal('SIGKILL');
    await worker.process.exited;
    for (const run of [...this.#openRuns.values()]) {
      if (run.host !== host) continue;
      const {task, attempt} = run;
      this.record({kind: 'run-ended', task, attempt, host, end: 'lost'});
    }
    for (const [exchange, exchangeHost] of [...this.#openExchanges]) {
      if (exchangeHost === host) this.record({kind: 'exchange-ended', exchange, cut: 'killed'});
    }
  }

  /** Makes the backend server of a host announce that it is draining, or that it is available again. */
  async setDraining(host: string, draining: boolean): Promise<void> {
    const {workerListen} = this.#workers.get(host)!.settings;
    try {
      await fetch(`http://${workerListen}/standin/failures`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({draining}),
        signal: AbortSignal.timeout(1_000),
      });
      this.record({kind: draining ? 'host-leaving' : 'host-returned', host});
    } catch {
      // A worker that is down cannot be changed; the next incarnation starts without draining.
    }
  }

  /** Starts or ends an outage of the store. */
  toggleStoreOutage(): void {
    this.#store?.signal('SIGUSR2');
  }

  /** Kills every process and waits until all have exited. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const daemons = [...this.entries, ...this.agents].flatMap(member => member.daemon ?? []);
    const workers = [...this.#workers.values()].flatMap(worker => worker.process ?? []);
    const all = [...daemons.map(daemon => daemon.process), ...workers, this.#store];
    for (const process of all) process?.signal('SIGKILL');
    await Promise.all(all.map(process => process?.exited));
  }

  #observe(line: string, life: number): void {
    const event = JSON.parse(line) as HistoryEvent;
    // A restarted backend server numbers its exchanges from one again.
    const uniqueEvent =
      'exchange' in event ? {...event, exchange: `${event.exchange}#${life}`} : event;
    this.#add({...uniqueEvent, at: event.at - this.#startedAtMs});
  }

  #add(event: HistoryEvent): void {
    this.events.push(event);
    if (event.kind === 'run-started') {
      this.#openRuns.set(`${event.host}/${event.task}#${event.attempt}`, event);
    } else if (event.kind === 'run-ended') {
      this.#openRuns.delete(`${event.host}/${event.task}#${event.attempt}`);
    } else if (event.kind === 'exchange-started') {
      this.#openExchanges.set(event.exchange, event.host);
    } else if (event.kind === 'exchange-ended') {
      this.#openExchanges.delete(event.exchange);
    }
  }
}
