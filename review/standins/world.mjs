// A small deployment on loopback addresses: the project's programs, started with the commands of the deploy file, beside
// stand-ins of the platform's store and workers. Entry N has the address 127.0.1.N, the machine of worker N 127.0.2.N.
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {Agent, request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {setTimeout} from 'node:timers';
import {Buffer} from 'node:buffer';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';

const standinFolder = dirname(fileURLToPath(import.meta.url));
const root = dirname(dirname(standinFolder));
/** Time in milliseconds until the platform starts a process again that has ended. */
const restartMs = 500;
export const service = 'sekk-order';
/** Bounds of the site file kbs-roast. */
const bounds = {
  leaseMs: 6_000,
  stopMs: 400,
  restoreMs: 250,
  gracePeriodSeconds: 6,
  keepFinalSeconds: 120,
  drainMs: 3_000,
  configurationMs: 3_000,
};

/** Returns the command of a role in the deploy file. */
function getCommand(role) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
}

async function findFreePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
  return ports;
}

/** A program of the project as a process, started again whenever it ends. */
class Program {
  shouldRun = true;

  constructor(world, role, name, settings) {
    Object.assign(this, {world, role, name, settings});
    this.file = join(world.folder, `${name}.json`);
    this.start();
  }

  start() {
    const [command, ...words] = getCommand(this.role);
    writeFileSync(this.file, JSON.stringify(this.settings));
    const {PATH, HOME, LANG, REVIEW_LOGS} = process.env;
    const log = REVIEW_LOGS ? openSync(join(REVIEW_LOGS, `${this.name}.log`), 'a') : 'ignore';
    this.process = spawn(command, words, {
      cwd: root,
      env: {PATH, HOME, LANG, CHERVILBEAM_SETTINGS: this.file},
      stdio: ['ignore', log, log],
    });
    if (log !== 'ignore') closeSync(log);
    this.world.record(`${this.name} started`);
    this.process.on('exit', (code, signal) => {
      this.world.record(`${this.name} ended: ${signal ?? code}`);
      if (this.shouldRun) setTimeout(() => this.shouldRun && this.start(), restartMs);
    });
  }

  signal(name) {
    this.world.record(`${name} sent to ${this.name}`);
    this.process.kill(name);
  }

  end() {
    this.shouldRun = false;
    this.process.kill('SIGKILL');
  }
}

/** A worker as a process; each start is a new incarnation with an id of its own. */
class Worker {
  incarnation = 0;

  constructor(world, options) {
    this.world = world;
    this.options = options;
    this.start();
  }

  start() {
    this.incarnation += 1;
    const id = `i-${this.options.name}-${this.incarnation}`;
    this.id = id;
    const script = join(standinFolder, 'worker.mjs');
    const child = spawn(process.execPath, [script, JSON.stringify({...this.options, id})], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    });
    this.process = child;
    createInterface({input: child.stdout}).on('line', line => {
      const event = JSON.parse(line);
      this.world.observe(event);
    });
    child.on('exit', () => this.world.observe({at: Date.now(), worker: id, event: 'gone'}));
  }

  /** Kills the worker; with `downMs`, it starts again after that time. */
  crash(downMs) {
    this.world.record(`worker ${this.id} crashes`);
    this.process.kill('SIGKILL');
    if (downMs === undefined) return;
    setTimeout(() => this.world.isOpen && this.start(), downMs);
  }

  drain() {
    this.process.send('drain');
  }

  /** Lets the worker answer its next `count` starts with 503, after `afterMs`, and do nothing. */
  refuseStarts(count, afterMs) {
    this.process.send({refuseStarts: count, afterMs});
  }
}

/** The deployment, and what its clients, workers and operator have seen. */
export class World {
  store = new Store();
  entries = [];
  workers = [];
  agents = [];
  /** What workers have reported, in order. */
  events = [];
  isOpen = true;
  startedAt = Date.now();
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  http = new Agent({keepAlive: true});

  /** `recordFile` is the path of record.txt. */
  constructor(recordFile) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  record(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.recordFile, `${seconds.padStart(8)} s  ${text}\n`);
  }

  observe(event) {
    if (!this.isOpen) return;
    this.events.push(event);
    const {at, worker, ...rest} = event;
    this.record(`worker ${worker}: ${JSON.stringify({...rest, lateMs: Date.now() - at})}`);
  }

  /**
   * Starts the entries, one every `staggerMs`, and the workers with their agents; `workers` has the options of each
   * worker.
   */
  async start({entries = 3, workers, configuration, staggerMs = 0}) {
    this.store.put('op/config', configuration);
    const [callers, readiness, control, peer, metrics, app, store] = await findFreePorts(7);
    this.ports = {callers, readiness, control, peer, metrics, app, store};
    const seeds = Array.from({length: entries}, (_, index) => `127.0.1.${index + 1}:${control}`);
    const createSettings = async (role, name, ip, storeHost) => {
      await this.store.listen(name, storeHost, store);
      return {
        role,
        name,
        dataCentre: 'bergen-a',
        region: 'vestland',
        peerAddress: `${ip}:${peer}`,
        peerPort: peer,
        seeds,
        store: `${storeHost}:${store}`,
        metricsAddress: `${ip}:${metrics}`,
        limits: {processorShare: 0.675, processorSpeed: 1, linkMegabits: 1_000},
        bounds,
      };
    };
    for (let index = 1; index <= entries; index += 1) {
      const ip = `127.0.1.${index}`;
      const name = `frontend-${index}`;
      const settings = await createSettings('entry', name, ip, `127.0.3.${index}`);
      settings.listen = {callers: `${ip}:${callers}`, readiness: `${ip}:${readiness}`, host: ip};
      this.entries.push(new Program(this, 'entry', name, settings));
      await delay(staggerMs);
    }
    for (const [position, options] of workers.entries()) {
      const index = position + 1;
      const ip = `127.0.2.${index}`;
      const name = `side-${index}`;
      const settings = await createSettings('agent', name, ip, `127.0.4.${index}`);
      settings.listen = {heartbeats: `${ip}:${control}`, host: ip};
      settings.worker = `${ip}:${app}`;
      this.agents.push(new Program(this, 'agent', name, settings));
      this.workers.push(
        new Worker(this, {
          name: String(index),
          host: ip,
          port: app,
          control: `${ip}:${control}`,
          service,
          zone: 'bergen-a',
          rack: `r1-${1 + Math.floor(position / 3)}`,
          memoryMb: 62_500,
          ...options,
        }),
      );
    }
    await this.waitFor('all entries to be ready', 20_000, async () => {
      for (let index = 1; index <= entries; index += 1) {
        const {status} = await this.call(`127.0.1.${index}`, readiness, 'GET', '/', {});
        if (status !== 200) return false;
      }
      return this.store.get('work/owner') !== undefined;
    });
    // Traffic starts 12 s after the machines on the sheet; here the time that heartbeats need.
    await delay(4_000);
  }

  /** Sends a request; the status is 0 without an answer. */
  call(host, port, method, path, {body, headers = {}, timeoutMs = 3_000} = {}) {
    return new Promise(resolve => {
      const request = sendRequest(
        {
          host,
          port,
          method,
          path,
          agent: this.http,
          timeout: timeoutMs,
          headers: {
            ...(body !== undefined && {'content-type': 'application/json'}),
            ...headers,
          },
        },
        async response => {
          const chunks = [];
          try {
            for await (const chunk of response) chunks.push(chunk);
          } catch {
            return resolve({status: 0});
          }
          const text = Buffer.concat(chunks).toString();
          resolve({status: response.statusCode, body: text === '' ? undefined : JSON.parse(text)});
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve({status: 0}));
      request.end(body && JSON.stringify(body));
    });
  }

  /** Sends a client's request for a submission to an entry, and records it with its answer. */
  async ask(entry, method, route, id, {body, timeoutMs = 3_000} = {}) {
    const headers = {
      host: route.host,
      'x-chervilbeam-deadline-remaining': String(timeoutMs),
    };
    const path = route.prefix + id;
    const what = `${method} ${path} at frontend-${entry}`;
    this.record(`client sends ${what}${body ? ` ${JSON.stringify(body)}` : ''}`);
    const ports = this.ports;
    const answer = await this.call(`127.0.1.${entry}`, ports.callers, method, path, {
      body,
      headers,
      timeoutMs,
    });
    this.record(`client gets ${answer.status} ${JSON.stringify(answer.body)} for ${what}`);
    return answer;
  }

  /** Hands a submission in, again after each answer that leaves it open, at most five times. */
  async submit(route, id, body) {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const {status} = await this.ask(1 + (attempt % this.entries.length), 'POST', route, id, {
        body,
      });
      if (status === 200) return;
      await delay(1_000);
    }
    throw new Error(`submission ${id} was not accepted`);
  }

  /** Returns the runs of a submission's tasks that have started and have not ended, on workers that are up. */
  getRunning(id) {
    const running = new Map();
    for (const {event, worker, task, run} of this.events) {
      if (event === 'start' && task.startsWith(`${id}.`)) {
        running.set(`${worker} ${task} ${run}`, {worker, task, run});
      }
      if (event === 'end') running.delete(`${worker} ${task} ${run}`);
      if (event === 'gone') {
        for (const [key, each] of running) if (each.worker === worker) running.delete(key);
      }
    }
    return [...running.values()];
  }

  async waitFor(what, limitMs, check) {
    const end = Date.now() + limitMs;
    while (!(await check())) {
      if (Date.now() > end) throw new Error(`waited ${limitMs} ms in vain for ${what}`);
      await delay(50);
    }
  }

  /** Ends all processes. */
  async stop() {
    this.isOpen = false;
    for (const program of [...this.entries, ...this.agents]) program.end();
    for (const worker of this.workers) worker.process.kill('SIGKILL');
    this.http.destroy();
    this.store.close();
    await delay(300);
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/**
 * Plays a case and ends with its status: 1 when `play` returns a description of the broken rule, 0 when it returns
 * undefined, and 2 when the case could not run.
 */
export async function runCase(recordFile, play) {
  const world = new World(recordFile);
  const isTroubled = process.env.TROUBLE !== '0';
  world.record(`TROUBLE=${isTroubled ? 1 : 0}`);
  let status = 2;
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => void world.stop().then(() => process.exit(2)));
  }
  // The platform's limit for a script is 120 s.
  const limit = delay(110_000, 'limit', {ref: false});
  try {
    const broken = await Promise.race([play(world, isTroubled), limit]);
    if (broken === 'limit') throw new Error('not finished in 110 s');
    world.record(broken === undefined ? 'the rule was kept' : `BROKEN: ${broken}`);
    status = broken === undefined ? 0 : 1;
  } catch (error) {
    world.record(`could not run: ${error.stack}`);
  }
  await world.stop();
  process.exit(status);
}
