import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, resolve as resolvePath} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {SeededRandom} from '@chervilbeam/coordination';
import {StoreStandin} from '../../platform/dist/soak/world/store-standin.js';
import {Gangs} from './gangs.mjs';
import {call, closeConnections} from './http.mjs';
import {findFreePorts} from './ports.mjs';
import {Worker} from './worker.mjs';

const root = resolvePath(dirname(fileURLToPath(import.meta.url)), '../..');
/** Words of `run` in the deploy file, by role. */
const commands = {
  entry: ['--max-old-space-size=160', 'target/chervilbeam-platform.cjs'],
  agent: ['--max-old-space-size=96', 'target/chervilbeam-platform.cjs'],
};
/** Time in milliseconds after which the platform starts a process again that has ended. */
const restartDelayMs = 400;
/** Bounds of the site kbs-roast. */
const bounds = {
  leaseMs: 6_000,
  stopMs: 400,
  restoreMs: 250,
  gracePeriodSeconds: 6,
  keepFinalSeconds: 120,
  drainMs: 3_000,
  configurationMs: 3_000,
};
const host = 'work.example';
const service = 'workers';
/** Time in milliseconds that a client waits for an answer. */
const clientTimeoutMs = 3_000;

const defaultRoute = {
  host,
  service,
  priority: 0,
  max_attempts: 2,
  stretch_factor: 20,
  target_latency_ms: 60_000,
  timeout_ms: 3_000,
};

/** A process of the system, started again when it ends, as on the platform. */
class SystemProcess {
  #child;
  #isWanted = true;

  constructor(options) {
    this.options = options;
    this.start();
  }

  start() {
    const {role, settings, settingsFile, name, record, logFile} = this.options;
    writeFileSync(settingsFile, JSON.stringify(settings));
    this.#child = spawn(process.execPath, commands[role], {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        CHERVILBEAM_SETTINGS: settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      stream.on('data', bytes => logFile && appendFileSync(logFile, bytes));
    }
    this.#child.once('exit', (code, signal) => {
      record({event: 'process-ended', process: name, code, signal});
      if (this.#isWanted) setTimeout(() => this.#isWanted && this.start(), restartDelayMs);
    });
  }

  signal(name) {
    this.options.record({event: 'signal', process: this.options.name, signal: name});
    this.#child.kill(name);
  }

  async stop() {
    this.#isWanted = false;
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return;
    const exited = new Promise(resolve => this.#child.once('exit', resolve));
    this.#child.kill('SIGKILL');
    await exited;
  }
}

/** A small deployment of the real programs, with stand-ins for the store, the workers and the clients. */
export class World {
  entries = [];
  agents = [];
  workers = [];
  store = new StoreStandin(new SeededRandom(1));
  #gangs = new Gangs();
  #folder = mkdtempSync(join(tmpdir(), 'chervilbeam-review-'));
  #steps = new Map();
  #version = 0;
  #nextEntry = 0;
  #startedAt = performance.now();

  /** `recordFile` gets a line for everything that is sent, answered and run. */
  constructor({recordFile, logFolder = process.env.LOG_FOLDER, ...callbacks}) {
    this.recordFile = recordFile;
    this.logFolder = logFolder;
    this.callbacks = callbacks;
    writeFileSync(recordFile, '');
  }

  /** Seconds since the world was created. */
  get now() {
    return (performance.now() - this.#startedAt) / 1_000;
  }

  /** Writes a line to the record. */
  record = fields => {
    appendFileSync(this.recordFile, `${this.now.toFixed(3)} ${JSON.stringify(fields)}\n`);
  };

  /** Starts the entries, and the workers with their agents; `workers` has an entry with `cpu` for each. */
  async start({routes, entryCount = 3, workers}) {
    this.configure(routes);
    for (let index = 0; index < entryCount; index += 1) await this.#addEntry(index);
    for (const [index, options] of workers.entries()) await this.#addWorker(index, options);
    await this.waitFor('all entries ready', 20_000, async () => {
      const answers = await Promise.all(
        this.entries.map(({readiness}) =>
          call({address: readiness, method: 'GET', path: '/chervilbeam/readiness', timeoutMs: 500}),
        ),
      );
      return answers.every(({status}) => status === 200);
    });
    await this.waitFor('an owner', 20_000, () => this.owner !== undefined);
    // Agents find the owner, and their workers get into the roster.
    await delay(3_000);
  }

  /** Writes the next version of the configuration. */
  configure(routes) {
    this.#version += 1;
    const services = [{name: service, enforces_capacity: true}];
    this.store.put(
      'op/config',
      JSON.stringify({
        version: this.#version,
        routes: routes.map(route => ({...defaultRoute, ...route})),
        services,
      }),
    );
  }

  /** The entry that the store names as the owner. */
  get owner() {
    const owner = JSON.parse(this.store.getValue('work/owner') ?? '{}');
    return this.entries.find(({name}) => name === owner.name);
  }

  /**
   * Hands in a submission. A step has the fields of the wire, and `behaviour` for the workers: `durationMs` and `fails`.
   */
  async submit(prefix, id, steps, fields = {}) {
    this.#steps.set(id, steps);
    const body = {
      spec: `spec of ${id}`,
      ...fields,
      steps: steps.map(({behaviour: _, ...step}) => step),
    };
    return this.send('POST', prefix + id, body);
  }

  /** Sends a client's request to the next entry and records it with its answer. */
  async send(method, path, body, entry = this.#takeEntry()) {
    const sentAt = this.now;
    const answer = await call({
      address: entry.callers,
      method,
      path,
      headers: {host, 'x-chervilbeam-deadline-remaining': String(clientTimeoutMs)},
      body,
      timeoutMs: clientTimeoutMs,
    });
    this.record({
      event: 'request',
      method,
      path,
      entry: entry.name,
      sentAt: Number(sentAt.toFixed(3)),
      status: answer.status,
      ...(answer.body !== undefined && {answer: answer.body}),
    });
    return answer;
  }

  /** Returns the run of a task that is on a worker, with that worker; undefined when there is none. */
  findRun(task) {
    for (const worker of this.workers) {
      const run = worker.incarnation?.runs.get(task);
      if (run !== undefined) return {worker, run};
    }
    return undefined;
  }

  /** Waits until `check` returns a value that is not false or undefined, and returns it; throws after `limitMs`. */
  async waitFor(what, limitMs, check) {
    const deadline = performance.now() + limitMs;
    for (;;) {
      const value = await check();
      if (value !== undefined && value !== false) return value;
      if (performance.now() > deadline) throw new Error(`no ${what} within ${limitMs} ms`);
      await delay(50);
    }
  }

  /** Ends all processes and stand-ins. */
  async stop() {
    await Promise.all([...this.entries, ...this.agents].map(({process: child}) => child.stop()));
    await Promise.all(this.workers.map(worker => worker.stop()));
    closeConnections();
    await this.store.close();
    rmSync(this.#folder, {recursive: true, force: true});
  }

  #takeEntry() {
    this.#nextEntry += 1;
    return this.entries[this.#nextEntry % this.entries.length];
  }

  #getTask(task) {
    const [id, , step, index] = task.split('.');
    const known = this.#steps.get(id)?.[Number(step)];
    if (known === undefined) return undefined;
    return {
      cpu: known.cpu,
      memoryMb: known.memory_request_mb,
      lasts: known.long_running === true,
      saves: known.checkpointing === true,
      gang: known.gang === true,
      fills: known.fills === true,
      tailMs: known.behaviour?.tailMs ?? 5,
      count: known.count,
      durationMs:
        known.behaviour?.getDurationMs?.(Number(index)) ?? known.behaviour?.durationMs ?? 1_000,
      fails: known.behaviour?.fails === true,
    };
  }

  async #addEntry(index) {
    const name = `frontend-${index + 1}`;
    const [callers, readiness, peer, store] = (await findFreePorts(4)).map(toAddress);
    await this.store.listen(name, store);
    const settings = {
      role: 'entry',
      name,
      dataCentre: `zone-${index + 1}`,
      region: 'region-1',
      peerAddress: peer,
      peerPort: getPort(peer),
      seeds: [],
      store,
      listen: {callers, readiness},
      heartbeatIntervalMs: 1_500,
      limits: {processorShare: 0.675, processorSpeed: 1, linkMegabits: 1_000},
      bounds,
    };
    this.entries.push({
      name,
      callers,
      readiness,
      process: this.#startProcess('entry', name, settings),
    });
  }

  async #addWorker(index, options) {
    const name = `side-${index + 1}`;
    const zone = `zone-${(index % 3) + 1}`;
    const [address, control, peer, store] = (await findFreePorts(4)).map(toAddress);
    await this.store.listen(name, store);
    const settings = {
      role: 'agent',
      name,
      dataCentre: zone,
      region: 'region-1',
      peerAddress: peer,
      peerPort: getPort(peer),
      seeds: [],
      store,
      listen: {heartbeats: control},
      heartbeatIntervalMs: 1_500,
      worker: address,
      limits: {processorShare: 0.405, processorSpeed: 1, linkMegabits: 1_000},
      bounds,
    };
    this.agents.push({name, process: this.#startProcess('agent', name, settings)});
    const worker = new Worker({
      name,
      service,
      zone,
      address,
      control,
      memoryMb: 64_000,
      labels: ['a', `r-${Math.floor(index / 3) + 1}`],
      maxHoldMs: bounds.leaseMs,
      record: this.record,
      gangs: this.#gangs,
      getTask: task => this.#getTask(task),
      ...this.callbacks,
      ...options,
    });
    await worker.start();
    this.workers.push(worker);
  }

  #startProcess(role, name, settings) {
    return new SystemProcess({
      role,
      name,
      settings,
      settingsFile: join(this.#folder, `${name}.json`),
      logFile: this.logFolder && join(this.logFolder, `${name}.log`),
      record: this.record,
    });
  }
}

/**
 * Runs a case and sets the exit status: 1 if `play` returns that the rule was broken, 0 if it held, 2 if the case could
 * not run. `limitMs` bounds the whole run.
 */
export async function runCase(world, play, limitMs = 110_000) {
  const giveUp = reason => {
    world.record({event: 'result', result: `could not run: ${reason}`});
    world.stop().finally(() => process.exit(2));
  };
  const limit = setTimeout(() => giveUp('time limit'), limitMs);
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => giveUp(signal));
  try {
    const broken = await play();
    world.record({event: 'result', broken: broken ?? 'no'});
    process.stdout.write(broken === undefined ? 'held\n' : `broken: ${broken}\n`);
    process.exitCode = broken === undefined ? 0 : 1;
  } catch (error) {
    world.record({event: 'result', result: `could not run: ${error.message}`});
    process.stdout.write(`could not run: ${error.message}\n`);
    process.exitCode = 2;
  }
  clearTimeout(limit);
  await world.stop();
}

function toAddress(port) {
  return `127.0.0.1:${port}`;
}

function getPort(address) {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
