// Stand-in of a worker, as PROTOCOL.md describes it. One process is one life of the worker; it ends when it is killed.
import {appendFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setInterval, setTimeout} from 'node:timers';
import {callJson, readJson, sendJson, serveHttp} from './http.mjs';

const options = JSON.parse(process.argv[2]);
const {id, address, control, service, zone, labels, capacity, stopMs, maxHoldMs, record} = options;
/** Time in milliseconds after which a run fails. */
const failAfterMs = 100;
const defaultWork = {cpu: 0, ms: 1_000};
const born = Date.now();
const startedAt = performance.now();
const runs = new Map();
const highest = new Map();
const waiting = new Set();
let ends = [];
let nextEnd = 1;
let token = 0;
let deadline = 0;
let sequence = 0;
/** Time until which every run that is started fails, while the status check is good. */
let failsUntil = 0;

function clockMs() {
  return Math.floor(performance.now() - startedAt);
}

function note(event) {
  appendFileSync(record, `${JSON.stringify({t: Date.now(), worker: id, born, ...event})}\n`);
}

/** The work of a step stands in the spec, as `{"work":[{"cpu":..,"ms":..,"lasts":..}]}`. */
function getWork(task, spec) {
  const step = Number(task.split('.')[2]);
  try {
    return JSON.parse(spec).work[step] ?? defaultWork;
  } catch {
    return defaultWork;
  }
}

function usedCpu() {
  let cpu = 0;
  for (const run of runs.values()) cpu += run.work.cpu;
  return cpu;
}

function endRun(run, how) {
  if (runs.get(run.task) !== run) return;
  runs.delete(run.task);
  clearTimeout(run.timer);
  note({event: 'end', task: run.task, run: run.run, how, number: nextEnd});
  ends.push([nextEnd++, run.task, run.run, how, '']);
  for (const answer of [...waiting]) answer();
}

function extend(deadlineMs) {
  if (deadlineMs > 0) deadline = Math.max(deadline, Math.min(deadlineMs, clockMs() + maxHoldMs));
}

function start({task, run, spec, deadline_ms: deadlineMs, checkpoint}) {
  if (deadlineMs < clockMs()) return 'late';
  extend(deadlineMs);
  const present = runs.get(task);
  if (present?.run === run) return undefined;
  if (present || run <= (highest.get(task) ?? 0)) return 'old';
  const work = getWork(task, spec);
  if (usedCpu() + work.cpu > capacity.cpu) return 'room';
  highest.set(task, run);
  const entry = {task, run, work, startedAt: clockMs()};
  runs.set(task, entry);
  note({event: 'start', task, run, token, spec, checkpoint});
  if (clockMs() < failsUntil) entry.timer = setTimeout(() => endRun(entry, 'failed'), failAfterMs);
  else if (!work.lasts) entry.timer = setTimeout(() => endRun(entry, 'done'), work.ms);
  return undefined;
}

function stop({task, run}) {
  highest.set(task, Math.max(run, highest.get(task) ?? 0));
  const present = runs.get(task);
  if (present?.run !== run || present.isStopping) return;
  present.isStopping = true;
  clearTimeout(present.timer);
  setTimeout(() => endRun(present, 'stopped'), stopMs / 2);
}

function toRow({task, run, work, startedAt: at}) {
  const share = work.lasts ? 1 : Math.min(0.99, (clockMs() - at) / work.ms);
  return [task, run, '', Math.floor(100 * share), work.lasts ? 10 : work.cpu];
}

function hold({deadline_ms: deadlineMs, ack_cursor: cursor = 0, wait_ms: waitMs = 0}, response) {
  extend(deadlineMs ?? 0);
  const last = ends.length > 0 ? ends[0][0] : 0;
  if (last > 0 && cursor >= last) note({event: 'acknowledged', cursor});
  ends = ends.filter(([number]) => number > cursor);
  const answer = () => {
    clearTimeout(timer);
    waiting.delete(answer);
    const running = [...runs.values()].map(toRow);
    sendJson(response, 200, {clock_ms: clockMs(), running, finished: ends.slice(0, 500), born});
  };
  const timer = setTimeout(answer, waitMs);
  if (waitMs > 0 && ends.length === 0) waiting.add(answer);
  else answer();
}

await serveHttp(address, async (request, response) => {
  const body = await readJson(request);
  if (request.url === '/stand-in/trouble') {
    failsUntil = clockMs() + (body.errorsMs ?? 0);
    if (body.endRuns) for (const run of [...runs.values()]) endRun(run, body.endRuns);
    return sendJson(response, 200, {});
  }
  if (request.headers['x-chervilbeam-expected-worker'] !== id) return sendJson(response, 421, {});
  const {fencing_token: given = 0} = body;
  if (given < token) return sendJson(response, 409, {clock_ms: clockMs(), reason: 'fence'});
  token = given;
  const call = request.url.replace('/chervilbeam/', '');
  if (call === 'hold') return hold(body, response);
  const reason = call === 'run-start' ? start(body) : undefined;
  if (call === 'run-stop') stop(body);
  if (reason !== undefined) return sendJson(response, 409, {clock_ms: clockMs(), reason});
  sendJson(response, 200, {clock_ms: clockMs()});
});

setInterval(() => {
  if (deadline > 0 && clockMs() > deadline)
    for (const run of [...runs.values()]) endRun(run, 'lapsed');
}, 10);

async function beat() {
  sequence += 1;
  await callJson(control, {
    method: 'PUT',
    path: `/chervilbeam/workers/${id}`,
    timeoutMs: 1_000,
    body: {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity,
      labels,
      clock_ms: clockMs(),
      sequence,
      born,
    },
  });
  setTimeout(() => void beat(), 1_500);
}

note({event: 'worker-started'});
void beat();
