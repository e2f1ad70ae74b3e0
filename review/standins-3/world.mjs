import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {callJson, closeCalls} from './http.mjs';
import {Store} from './store.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const root = join(folder, '..', '..');
const program = 'target/chervilbeam-platform.cjs';
/** Bounds of the site sites/legoff-registres.toml that the programs are told. */
const bounds = {
  leaseMs: 10_000,
  stopMs: 900,
  restoreMs: 100,
  gracePeriodSeconds: 6,
  keepFinalSeconds: 120,
  drainMs: 3_000,
  configurationMs: 3_000,
};
export const host = 'queues.example';
const service = 'sack';

export function delay(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until `check` returns a value that is not undefined or false; throws after `limitMs`. */
export async function waitFor(what, check, limitMs = 20_000) {
  const end = Date.now() + limitMs;
  for (;;) {
    const value = await check();
    if (value !== undefined && value !== false) return value;
    if (Date.now() > end) throw new Error(`not in time: ${what}`);
    await delay(20);
  }
}

function listen(address, port) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(port, address, () => resolve(server));
  });
}

/** Finds consecutive free ports, below those that the system gives to outgoing connections. */
async function findPorts(count) {
  for (;;) {
    const first = 12_000 + count * Math.floor((Math.random() * 18_000) / count);
    const ports = Array.from({length: count}, (_, index) => first + index);
    const results = await Promise.allSettled(ports.map(port => listen('127.0.1.1', port)));
    const servers = results.flatMap(({value}) => value ?? []);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    if (servers.length === count) return ports;
  }
}

/** A small deployment: a store, entries, and agents with a worker each; every machine has a loopback address of its own. */
export class World {
  store = new Store();
  entries = [];
  hosts = [];
  #children = new Set();
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'));

  constructor(recordFile) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  note(event) {
    appendFileSync(this.recordFile, `${JSON.stringify({t: Date.now(), ...event})}\n`);
  }

  /** All lines of the record. */
  get events() {
    const lines = readFileSync(this.recordFile, 'utf8').split('\n');
    return lines.filter(line => line !== '').map(line => JSON.parse(line));
  }

  /**
   * Starts everything. `hosts` has, for each worker, its labels and cores. `getStore` and `getPeerSettings` may put
   * proxies in between.
   */
  async start({entries, hosts, routes, getStore, getPeerSettings, getWorkerAddress}) {
    const [store, callers, readiness, peer, control, worker, metrics] = await findPorts(7);
    this.ports = {store, callers, readiness, peer, control, worker, metrics};
    this.storeAddress = `127.0.0.1:${store}`;
    await this.store.start(this.storeAddress);
    this.store.put('op/config', {
      version: 1,
      routes: routes.map(route => ({
        host,
        service,
        priority: 0,
        max_attempts: 3,
        stretch_factor: 20,
        target_latency_ms: 20_000,
        timeout_ms: 3_000,
        ...route,
      })),
      services: [{name: service, enforces_capacity: true}],
      limits: {},
    });
    const ips = Array.from({length: entries}, (_, index) => `127.0.1.${index + 1}`);
    this.seeds = ips.map(ip => `${ip}:${control}`).slice(0, 3);
    for (const [index, ip] of ips.entries()) {
      const name = `entry-${index + 1}`;
      this.entries.push(
        await this.#startSystem(name, {
          ...this.#common(name, ip, await getStore?.(name)),
          role: 'entry',
          ...(await getPeerSettings?.(name, ip, peer)),
          listen: {callers: `${ip}:${callers}`, readiness: `${ip}:${readiness}`, host: ip},
          limits: this.#limits(0.675, 350),
        }),
      );
    }
    for (const [index, {labels, cores}] of hosts.entries()) {
      const name = `side-${index + 1}`;
      const ip = `127.0.2.${index + 1}`;
      const workerAddress = `${ip}:${worker}`;
      const agent = await this.#startSystem(name, {
        ...this.#common(name, ip, await getStore?.(name)),
        role: 'agent',
        heartbeatIntervalMs: 1_500,
        worker: getWorkerAddress?.(name, workerAddress) ?? workerAddress,
        listen: {heartbeats: `${ip}:${control}`, host: ip},
        limits: this.#limits(0.405, 218),
      });
      const entry = {name, ip, agent, labels, cores, lives: 0, workerAddress};
      this.hosts.push(entry);
      this.startWorker(entry);
    }
  }

  #common(name, ip, store = this.storeAddress) {
    const {peer, metrics} = this.ports;
    return {
      name,
      dataCentre: 'bergen-a',
      region: 'vestland',
      peerAddress: `${ip}:${peer}`,
      peerPort: peer,
      seeds: this.seeds,
      store,
      metricsAddress: `${ip}:${metrics}`,
      bounds,
    };
  }

  #limits(share, memoryLimitMb) {
    return {
      processorShare: share,
      processorSpeed: 1,
      memoryLimitMb,
      fileDescriptors: 4_100,
      linkMegabits: 1_000,
    };
  }

  async #startSystem(name, settings) {
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const heapMb = settings.role === 'entry' ? 160 : 96;
    const system = {name, settings, log: []};
    system.start = () => {
      const child = spawn('node', [`--max-old-space-size=${heapMb}`, program], {
        cwd: root,
        env: {PATH: process.env.PATH, HOME: process.env.HOME, CHERVILBEAM_SETTINGS: file},
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      system.child = child;
      this.#keep(child);
      this.note({event: 'process-started', process: name});
      child.stdout.on('data', bytes => system.log.push(String(bytes)));
      child.on('exit', (code, signal) =>
        this.note({event: 'process-ended', process: name, code, signal}),
      );
    };
    system.start();
    return system;
  }

  /** Starts a new life of a host's worker. */
  startWorker(entry) {
    entry.lives += 1;
    const options = {
      id: `i-${entry.name}-${entry.lives}`,
      address: entry.workerAddress,
      control: `${entry.ip}:${this.ports.control}`,
      service,
      zone: 'bergen-a',
      labels: entry.labels,
      capacity: {cpu: entry.cores * 1_000, memory_request_mb: 64_000, gpu: 0},
      stopMs: bounds.stopMs,
      maxHoldMs: bounds.leaseMs,
      record: this.recordFile,
    };
    const child = spawn('node', [join(folder, 'worker.mjs'), JSON.stringify(options)], {
      stdio: ['ignore', 'inherit', 'inherit'],
    });
    entry.id = options.id;
    entry.worker = child;
    this.#keep(child);
  }

  /** Crashes a host's worker: everything that it runs ends, and it says nothing. */
  async crashWorker(entry) {
    const ended = new Promise(resolve => entry.worker.once('exit', resolve));
    entry.worker.kill('SIGKILL');
    await ended;
    this.note({event: 'worker-crashed', worker: entry.id});
  }

  /** Lets a worker end the runs that it has (`endRuns` says how), or fail all that it starts for a time (`errorsMs`). */
  async troubleWorker(entry, trouble) {
    await callJson(entry.workerAddress, {
      method: 'POST',
      path: '/stand-in/trouble',
      body: trouble,
      timeoutMs: 1_000,
    });
    this.note({event: 'worker-trouble', worker: entry.id, ...trouble});
  }

  #keep(child) {
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
  }

  /** Calls an entry as a client does, and records the answer. */
  async call(entry, method, prefix, id, body) {
    const sentAt = Date.now();
    const answer = await callJson(entry.settings.listen.callers, {
      method,
      path: `${prefix}${id}`,
      headers: {host, 'x-chervilbeam-deadline-remaining': '3000'},
      body,
      timeoutMs: 3_000,
    });
    const {status, body: value, error} = answer;
    const {state, pending} = value;
    this.note({
      event: 'call',
      entry: entry.name,
      method,
      id,
      sentAt,
      status,
      state,
      pending,
      error,
    });
    return answer;
  }

  /** Waits until all entries are ready, there is an owner, and each worker has been asked for its lists. */
  async waitUntilReady() {
    for (const {settings} of this.entries) {
      await waitFor('readiness', async () => {
        const {status} = await callJson(settings.listen.readiness, {
          method: 'GET',
          path: '/chervilbeam/readiness',
          timeoutMs: 500,
        });
        return status === 200;
      });
    }
    await waitFor('an owner', () => this.owner);
    await waitFor('all workers in the roster', () => {
      const lives = this.store.get('roster')?.length ?? 0;
      return lives >= this.hosts.length;
    });
  }

  /** The entry that the store names as the owner. */
  get owner() {
    const owner = this.store.get('work/owner');
    return owner && this.entries.find(({name}) => name === owner.name);
  }

  /** Saves the logs of the system's processes beside the record, to look into a result. */
  saveLogs(target) {
    for (const {name, log} of [...this.entries, ...this.hosts.map(({agent}) => agent)])
      writeFileSync(join(target, `${name}.log`), log.join(''));
  }

  /** Ends all processes that this world has started. */
  async stop() {
    const ended = [...this.#children].map(child => {
      const end = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      return end;
    });
    await Promise.all(ended);
    this.store.stop();
    closeCalls();
    rmSync(this.#folder, {recursive: true, force: true});
  }
}

/** Runs a case and ends with its result: 1 when the rule was broken, 0 when it held, 2 when the case could not run. */
export async function runCase(recordFile, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const world = new World(recordFile);
  let status = 2;
  const limit = setTimeout(() => {
    world.note({event: 'result', status: 2, reason: 'time'});
    void world.stop().finally(() => process.exit(2));
  }, 110_000);
  try {
    const broken = await play(world, hasTrouble);
    status = broken ? 1 : 0;
    world.note({event: 'result', status, trouble: hasTrouble, broken});
  } catch (error) {
    world.note({event: 'result', status, reason: String(error?.stack ?? error)});
  }
  if (process.env.LOGS) world.saveLogs(process.env.LOGS);
  await world.stop();
  clearTimeout(limit);
  process.exit(status);
}
