import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearInterval, clearTimeout, setInterval, setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {call, readJson, sendJson} from './http.mjs';

const heartbeatIntervalMs = 1_500;
const tickMs = 20;
/** Time in milliseconds until a task that lasts is at work. */
const startupMs = 200;
/** Time in milliseconds that a stop takes; at most `stop_ms` of the bounds. */
const stopMs = 300;
const maxListedEnds = 500;

/** Time in milliseconds for which a member of a gang waits for the others, and work between two checkpoints. */
const gangTimeoutMs = 3_000;
const checkpointMs = 500;

/** One incarnation of a worker: all that it forgets in a crash. */
class Incarnation {
  born = Date.now();
  startedAt = performance.now();
  runs = new Map();
  /** Highest run number that was started or stopped, by task. */
  highestRuns = new Map();
  ends = [];
  nextEnd = 1;
  token = 0;
  deadlineMs = 0;
  sequence = 0;
  waiting = new Set();

  constructor(id) {
    this.id = id;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedAt);
  }
}

/**
 * A worker as PROTOCOL.md describes it: guards its capacity, holds runs under a lease, numbers their ends, and sends
 * pings to the agent on its machine. `getTask` returns the need and the behaviour of a task by its name.
 */
export class Worker {
  incarnation;
  /** Commands that get no answer and are executed later: a function of path and body that returns the delay in ms. */
  getDelayMs = () => undefined;
  /** How many times as long everything takes. */
  slowness = 1;
  /** Whether runs fail soon after their start, and whether they stand still. */
  isFailing = false;
  isHanging = false;
  isDraining = false;
  #server;
  #sockets = new Set();
  #timers = [];
  #lives = 0;
  #tickedAt = performance.now();

  constructor(options) {
    this.options = options;
  }

  get name() {
    return this.options.name;
  }

  /** Starts the first incarnation. */
  async start() {
    await this.restart();
    this.#timers.push(
      setInterval(() => this.#tick(), tickMs),
      setInterval(() => this.#sendPing(), heartbeatIntervalMs),
    );
  }

  /** Ends the incarnation with all its runs, as a crash does; nothing listens at the address any more. */
  async crash() {
    const {incarnation, options} = this;
    if (incarnation === undefined) return;
    this.incarnation = undefined;
    options.record({event: 'worker-crashed', worker: options.name, id: incarnation.id});
    for (const run of incarnation.runs.values()) {
      if (run.known.gang) options.gangs.remove(run, 'crashed');
      options.onRunEnd?.(this, run, 'crashed');
    }
    for (const socket of this.#sockets) socket.destroy();
    await new Promise(resolve => this.#server.close(resolve));
  }

  /** Starts an incarnation, under a new id unless `keepsId` is set. */
  async restart({keepsId = false} = {}) {
    if (!keepsId) this.#lives += 1;
    this.incarnation = new Incarnation(`i-${this.options.name}-${this.#lives}`);
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    const separator = this.options.address.lastIndexOf(':');
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(
        Number(this.options.address.slice(separator + 1)),
        this.options.address.slice(0, separator),
        resolve,
      );
    });
    this.options.record({
      event: 'worker-started',
      worker: this.options.name,
      id: this.incarnation.id,
    });
    this.#sendPing();
  }

  /** Reports that the worker leaves, and ends it after the time that it has announced. */
  async leave() {
    this.isDraining = true;
    await this.#sendPing();
    await delay(3_500);
    await this.crash();
    this.isDraining = false;
  }

  /** Ends the worker without a restart. */
  async stop() {
    for (const timer of this.#timers) clearInterval(timer);
    await this.crash();
  }

  async #sendPing() {
    const {incarnation, options} = this;
    if (incarnation === undefined) return;
    incarnation.sequence += 1;
    await call({
      address: options.control,
      method: 'PUT',
      path: `/chervilbeam/workers/${incarnation.id}`,
      timeoutMs: 1_000,
      body: {
        service: options.service,
        address: options.address,
        zone: options.zone,
        version: 'v1',
        slots: 8,
        state: this.isDraining ? 'draining' : 'ready',
        ...(this.isDraining && {remaining_ms: 3_000}),
        cold_remaining_ms: 0,
        capacity: {cpu: options.cpu, memory_request_mb: options.memoryMb, gpu: 0},
        labels: options.labels,
        clock_ms: incarnation.clockMs,
        sequence: incarnation.sequence,
        born: incarnation.born,
      },
    });
  }

  async #serve(request, response) {
    const body = (await readJson(request)) ?? {};
    const {incarnation} = this;
    if (incarnation === undefined) return request.socket.destroy();
    if (request.headers['x-chervilbeam-expected-worker'] !== incarnation.id) {
      return sendJson(response, 421, {clock_ms: incarnation.clockMs});
    }
    const path = request.url.replace('/chervilbeam/', '');
    if (path === 'hold') return this.#hold(incarnation, body, response);
    const delayMs = this.getDelayMs(path, body);
    if (delayMs !== undefined) {
      this.options.record({
        event: 'order-delayed',
        worker: this.name,
        path,
        task: body.task,
        run: body.run,
        delayMs,
      });
      setTimeout(() => {
        // The machine delivers the order to whatever worker has the id that the order names.
        const present = this.incarnation;
        if (present?.id === incarnation.id) this.#execute(present, path, body, true);
      }, delayMs);
      return undefined;
    }
    const [status, reason] = this.#execute(incarnation, path, body, false);
    return sendJson(response, status, {
      clock_ms: incarnation.clockMs,
      ...(reason !== undefined && {reason}),
    });
  }

  #execute(incarnation, path, body, isLate) {
    if (body.fencing_token < incarnation.token) return [409, 'fence'];
    incarnation.token = body.fencing_token;
    const run = incarnation.runs.get(body.task);
    switch (path) {
      case 'run-start':
        return this.#start(incarnation, body, isLate);
      case 'run-stop': {
        const highest = incarnation.highestRuns.get(body.task) ?? 0;
        incarnation.highestRuns.set(body.task, Math.max(highest, body.run));
        if (run?.number === body.run && run.stopAt === undefined)
          run.stopAt = performance.now() + stopMs;
        this.options.record({event: 'stop', worker: this.name, task: body.task, run: body.run});
        return [200];
      }
      case 'pace':
        if (run?.number === body.run) run.pace = body.percent;
        return [200];
      default:
        return [404];
    }
  }

  #start(incarnation, body, isLate) {
    const {options} = this;
    const {task, run: number} = body;
    const refuse = reason => {
      options.record({event: 'start-refused', worker: this.name, task, run: number, reason});
      return [409, reason];
    };
    if (body.deadline_ms <= incarnation.clockMs) return refuse('late');
    this.#extendLease(incarnation, body.deadline_ms);
    if (incarnation.runs.get(task)?.number === number) return [200];
    if (number <= (incarnation.highestRuns.get(task) ?? 0)) return refuse('old');
    const known = options.getTask(task);
    if (known === undefined) {
      options.onUnknownStart?.(this, body);
      return [200];
    }
    let cpu = known.fills ? 0 : known.cpu;
    let {memoryMb} = known;
    for (const run of incarnation.runs.values()) {
      cpu += run.known.fills ? 0 : run.known.cpu;
      memoryMb += run.known.memoryMb;
    }
    if (cpu > options.cpu || memoryMb > options.memoryMb) return refuse('room');
    incarnation.highestRuns.set(task, number);
    const run = {
      task,
      number,
      known,
      startCheckpoint: body.checkpoint ?? '',
      checkpoint: body.checkpoint ?? '',
      workedMs: getSavedMs(body.checkpoint),
      pace: 100,
      startedAt: performance.now(),
      isTogether: !known.gang,
    };
    run.savedMs = run.workedMs;
    incarnation.runs.set(task, run);
    options.record({
      event: 'start',
      worker: this.name,
      task,
      run: number,
      ...(body.checkpoint !== undefined && {checkpoint: body.checkpoint}),
      ...(isLate && {late: true}),
    });
    if (known.gang) options.gangs.add(run, how => this.#end(incarnation, run, how));
    options.onRunStart?.(this, run, body, isLate);
    return [200];
  }

  #extendLease(incarnation, deadlineMs) {
    const longest = incarnation.clockMs + this.options.maxHoldMs;
    incarnation.deadlineMs = Math.max(incarnation.deadlineMs, Math.min(deadlineMs, longest));
  }

  #hold(incarnation, body, response) {
    if (body.fencing_token < incarnation.token) {
      return sendJson(response, 409, {clock_ms: incarnation.clockMs, reason: 'fence'});
    }
    incarnation.token = body.fencing_token;
    if (body.deadline_ms !== undefined) this.#extendLease(incarnation, body.deadline_ms);
    const cursor = body.ack_cursor ?? 0;
    for (const end of incarnation.ends)
      if (end[0] <= cursor) this.options.onAcknowledged?.(this, end);
    incarnation.ends = incarnation.ends.filter(([number]) => number > cursor);
    const answer = () => {
      clearTimeout(timer);
      incarnation.waiting.delete(answer);
      if (this.incarnation !== incarnation) return response.destroy();
      for (const run of incarnation.runs.values()) run.listedCheckpoint = run.checkpoint;
      return sendJson(response, 200, {
        clock_ms: incarnation.clockMs,
        running: [...incarnation.runs.values()].map(run => toRow(run, this.slowness)),
        finished: incarnation.ends.slice(0, maxListedEnds),
        born: incarnation.born,
      });
    };
    const timer = setTimeout(answer, body.wait_ms ?? 0);
    if ((body.wait_ms ?? 0) > 0 && incarnation.ends.length === 0) incarnation.waiting.add(answer);
    else answer();
    return undefined;
  }

  #tick() {
    const now = performance.now();
    const elapsedMs = now - this.#tickedAt;
    this.#tickedAt = now;
    const {incarnation} = this;
    if (incarnation === undefined) return;
    const hasLapsed = incarnation.clockMs > incarnation.deadlineMs;
    for (const run of [...incarnation.runs.values()]) {
      if (!incarnation.runs.has(run.task)) continue;
      if (run.isTogether && !this.isHanging)
        this.#work(run, (elapsedMs * run.pace) / 100 / this.slowness);
      if (hasLapsed) this.#end(incarnation, run, 'lapsed');
      else if (this.isFailing && now - run.startedAt > 300) this.#end(incarnation, run, 'failed');
      else if (run.stopAt !== undefined && now >= run.stopAt)
        this.#end(incarnation, run, 'stopped');
      else if (!run.isTogether && now - run.startedAt >= gangTimeoutMs)
        this.#end(incarnation, run, 'alone');
      else if (!run.known.lasts && run.workedMs >= run.known.durationMs) {
        this.#end(incarnation, run, run.known.fails ? 'failed' : 'done');
      }
    }
  }

  #work(run, ms) {
    run.workedMs += ms;
    if (!run.known.saves || run.workedMs - run.savedMs < checkpointMs) return;
    run.savedMs = Math.floor(run.workedMs / checkpointMs) * checkpointMs;
    run.checkpoint = this.#save(run, run.savedMs);
  }

  /** Returns the checkpoint of some work: as on the page, the members of a gang save the same at the same point. */
  #save({task}, workedMs) {
    const checkpoint = Math.floor(workedMs).toString(16).padStart(8, '0') + task.slice(4, 12);
    this.options.onCheckpoint?.(task, checkpoint);
    return checkpoint;
  }

  #end(incarnation, run, how) {
    if (incarnation.runs.get(run.task) !== run) return;
    incarnation.runs.delete(run.task);
    if (how === 'stopped' && run.known.saves && run.workedMs > 0)
      run.checkpoint = this.#save(run, run.workedMs);
    incarnation.ends.push([incarnation.nextEnd++, run.task, run.number, how, run.checkpoint]);
    if (run.known.gang) this.options.gangs.remove(run, how);
    this.options.record({event: 'end', worker: this.name, task: run.task, run: run.number, how});
    this.options.onRunEnd?.(this, run, how);
    for (const wake of [...incarnation.waiting]) wake();
  }
}

/** Row of a run in the answer to `hold`: task, run, checkpoint, percent, and latency or processor use. */
function toRow({task, number, known, workedMs, checkpoint, pace}, slowness) {
  const durationMs = known.lasts ? startupMs : known.durationMs;
  const percent = Math.min(known.lasts ? 100 : 99, Math.floor((100 * workedMs) / durationMs));
  const measurement = known.lasts ? known.tailMs * slowness : (known.cpu * pace) / 100;
  return [task, number, checkpoint, percent, Math.round(measurement)];
}

function getSavedMs(checkpoint) {
  return checkpoint === undefined ? 0 : Number.parseInt(checkpoint.slice(0, 8), 16);
}
