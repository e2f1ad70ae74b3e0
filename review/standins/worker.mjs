// A worker of the platform as a process of its own. Its first argument is JSON with `id`, `host`, `port`, `control`,
// `service`, `zone`, `rack`, `cores` and `memoryMb`. It writes what it runs to stdout, one JSON object a line. The spec
// of a task is JSON with `workMs`, `cores` and `memoryMb`, and `lasts` or `fails` where they apply.
import {createServer, request as sendRequest} from 'node:http';
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setInterval, setTimeout} from 'node:timers';

const heartbeatMs = 1_500;
const tickMs = 20;
/** Start-up time of a task that lasts, in milliseconds, after which it is at work. */
const warmupMs = 300;
const maxHoldMs = 6_000;
const drainMs = 3_000;
const maxEnds = 500;

const options = JSON.parse(process.argv[2]);
const {id, cores, memoryMb} = options;
const born = Date.now();
const startedAt = performance.now();
const runs = new Map();
const highestRuns = new Map();
const waiting = new Set();
let ends = [];
let nextEnd = 1;
let token = 0;
let deadlineMs = 0;
let sequence = 0;
let drainsUntil;
/** Number of starts that will be refused with status 503, and the time in milliseconds until they are. */
let refusedStarts = 0;
let refusalMs = 0;

function getKey(task, run) {
  return `${task} ${run}`;
}

function note(event) {
  process.stdout.write(`${JSON.stringify({at: Date.now(), worker: id, ...event})}\n`);
}

function getClockMs() {
  return Math.floor(performance.now() - startedAt);
}

function extendLease(untilMs) {
  deadlineMs = Math.max(deadlineMs, Math.min(untilMs, getClockMs() + maxHoldMs));
}

function endRun(run, how) {
  runs.delete(getKey(run.task, run.run));
  ends.push([nextEnd++, run.task, run.run, how, '']);
  note({event: 'end', task: run.task, run: run.run, how});
  for (const answer of [...waiting]) answer();
}

function hasRoom({cores: needed, memoryMb: neededMb}) {
  let usedCores = needed;
  let usedMb = neededMb;
  for (const {needs} of runs.values()) {
    usedCores += needs.cores;
    usedMb += needs.memoryMb;
  }
  return usedCores <= cores + 1e-6 && usedMb <= memoryMb;
}

/** Executes an order; returns the reason of a refusal. */
function order(path, body) {
  const {task, run, spec} = body;
  if ((body.fencing_token ?? 0) < token) return 'fence';
  token = body.fencing_token ?? 0;
  const present = runs.get(getKey(task, run));
  if (path === 'run-stop') {
    highestRuns.set(task, Math.max(run, highestRuns.get(task) ?? 0));
    if (present) endRun(present, 'stopped');
    return undefined;
  }
  if (path === 'pace') {
    if (present) present.pace = body.percent;
    return undefined;
  }
  if (body.deadline_ms < getClockMs()) return 'late';
  extendLease(body.deadline_ms);
  if (present) return undefined;
  if (run <= (highestRuns.get(task) ?? 0)) return 'old';
  const needs = JSON.parse(spec);
  if (!hasRoom(needs)) return 'room';
  highestRuns.set(task, run);
  runs.set(getKey(task, run), {task, run, needs, workedMs: 0, pace: 100});
  note({event: 'start', task, run, token});
  return undefined;
}

function hold(body, send) {
  if ((body.fencing_token ?? 0) < token) {
    return send(409, {clock_ms: getClockMs(), reason: 'fence'});
  }
  token = body.fencing_token ?? 0;
  if (body.deadline_ms !== undefined) extendLease(body.deadline_ms);
  for (const [number, task, run, how] of ends) {
    if (number <= (body.ack_cursor ?? 0)) note({event: 'noted', task, run, how});
  }
  ends = ends.filter(([number]) => number > (body.ack_cursor ?? 0));
  const answer = () => {
    clearTimeout(timer);
    waiting.delete(answer);
    const running = [...runs.values()].map(run => {
      const totalMs = run.needs.lasts ? warmupMs : run.needs.workMs;
      const percent = Math.min(run.needs.lasts ? 100 : 99, (100 * run.workedMs) / totalMs);
      const measurement = run.needs.lasts ? 10 : Math.round(run.needs.cores * 1_000);
      return [run.task, run.run, '', Math.floor(percent), measurement];
    });
    send(200, {clock_ms: getClockMs(), born, running, finished: ends.slice(0, maxEnds)});
  };
  const timer = setTimeout(answer, Math.min(2_000, body.wait_ms ?? 0));
  waiting.add(answer);
  if (ends.length > 0 || !body.wait_ms) answer();
}

const server = createServer(async (request, response) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const send = (status, value) => {
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(value));
  };
  const expected = request.headers['x-chervilbeam-expected-worker'];
  if (expected !== undefined && expected !== id) return send(421, {clock_ms: getClockMs()});
  const body = JSON.parse(Buffer.concat(chunks).toString());
  const path = request.url.replace('/chervilbeam/', '');
  if (path === 'hold') return hold(body, send);
  if (!['run-start', 'run-stop', 'pace'].includes(path)) return send(404, {});
  if (path === 'run-start' && refusedStarts > 0) {
    refusedStarts -= 1;
    note({event: 'unhealthy', path, task: body.task, run: body.run});
    return setTimeout(() => send(503, {clock_ms: getClockMs()}), refusalMs);
  }
  const reason = order(path, body);
  send(reason === undefined ? 200 : 409, {clock_ms: getClockMs(), ...(reason && {reason})});
});
server.keepAliveTimeout = 60_000;

function call(method, body) {
  const [host, port] = options.control.split(':');
  return new Promise(resolve => {
    const path = `/chervilbeam/workers/${id}`;
    const headers = {'content-type': 'application/json'};
    const request = sendRequest({host, port, method, path, headers, timeout: 1_000}, response => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
    request.end(body && JSON.stringify(body));
  });
}

async function beat() {
  sequence += 1;
  const isDraining = drainsUntil !== undefined;
  const status = await call('PUT', {
    service: options.service,
    address: `${options.host}:${options.port}`,
    zone: options.zone,
    version: 'v1',
    slots: 8,
    state: isDraining ? 'draining' : 'ready',
    cold_remaining_ms: 0,
    capacity: {cpu: cores * 1_000, memory_request_mb: memoryMb, gpu: 0},
    labels: [options.kind ?? 'a', options.rack],
    clock_ms: getClockMs(),
    ...(isDraining && {remaining_ms: Math.max(0, drainsUntil - getClockMs())}),
    born,
    sequence,
  });
  return status;
}

/** Reports that the worker drains, serves for `drainMs` after the acknowledgement, says farewell and ends. */
async function drain() {
  drainsUntil = getClockMs() + drainMs;
  note({event: 'draining'});
  await beat();
  drainsUntil = getClockMs() + drainMs;
  setTimeout(async () => {
    await call('DELETE');
    note({event: 'left'});
    process.exit(0);
  }, drainMs);
}

let lastTickAt = performance.now();
setInterval(() => {
  const now = performance.now();
  const elapsedMs = now - lastTickAt;
  lastTickAt = now;
  const hasLapsed = getClockMs() > deadlineMs;
  for (const run of [...runs.values()]) {
    run.workedMs += (elapsedMs * run.pace) / 100;
    const {lasts, fails, workMs} = run.needs;
    if (hasLapsed) endRun(run, 'lapsed');
    else if (!lasts && run.workedMs >= workMs) endRun(run, fails ? 'failed' : 'done');
  }
}, tickMs);

process.on('message', message => {
  if (message === 'drain') void drain();
  if (message.refuseStarts !== undefined) {
    refusedStarts = message.refuseStarts;
    refusalMs = message.afterMs;
  }
});
server.listen(options.port, options.host, () => {
  note({event: 'up', born});
  void beat();
  setInterval(() => void beat(), heartbeatMs);
});
