import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {runCase, World} from '../standins-2/world.mjs';

const withTrouble = process.env.TROUBLE !== '0';
const checkPrefix = '/checks/';
const runPrefix = '/runs/';
/** Large submissions that come at once, each of one step. */
const largeCount = 10;
const largeTasks = 20_000;
const smallCount = 10;
const workerCount = 7;
const workerCpu = 16_000;
/** `finish_s` of the site, and the time without a run from which the rule counts, in milliseconds. */
const finishMs = 14_000;
const idleMs = 3_000;

const world = new World({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});

function getUsedCpu() {
  let used = 0;
  for (const {incarnation} of world.workers) {
    for (const {known} of incarnation.runs.values()) used += known.cpu;
  }
  return used;
}

await runCase(world, async () => {
  const workers = Array.from({length: workerCount}, () => ({cpu: workerCpu}));
  const routes = [
    {name: 'checks', prefix: checkPrefix},
    {name: 'runs', prefix: runPrefix, priority: 2, target_latency_ms: 3_600_000},
  ];
  await world.start({routes, workers});
  const large = {
    count: largeTasks,
    cpu: 1_800,
    memory_request_mb: 500,
    estimated_ms: 2_000,
    behaviour: {durationMs: 2_000},
  };
  const small = {
    count: 1,
    cpu: 300,
    memory_request_mb: 100,
    estimated_ms: 500,
    behaviour: {durationMs: 500},
  };
  if (withTrouble) {
    for (let number = 1; number <= largeCount; number += 1) {
      const id = `d${number.toString(16).padStart(15, '0')}`;
      void world.submit(runPrefix, id, [large]);
    }
    await delay(3_000);
  }
  const accepted = [];
  for (let number = 1; number <= smallCount; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    const {status} = await world.submit(checkPrefix, id, [small]);
    if (status === 200) accepted.push(id);
    await delay(500);
  }
  if (accepted.length === 0) throw new Error('no small submission was accepted');
  await delay(finishMs);
  const open = new Set();
  for (const id of accepted) {
    const {body} = await world.send('GET', checkPrefix + id);
    if (body?.state !== 'completed') open.add(id);
  }
  for (const begunAt = world.now; world.now - begunAt < idleMs / 1_000; await delay(20)) {
    for (const id of open) if (world.findRun(`${id}.0.0.0`) !== undefined) open.delete(id);
    if (getUsedCpu() * 2 >= workerCount * workerCpu) open.clear();
  }
  if (open.size === 0) return undefined;
  return `${open.size} of ${accepted.length} small submissions that were accepted have nothing running for 3 s on a service that is less than half full`;
});
