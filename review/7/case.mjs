import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {runCase, World} from '../standins-2/world.mjs';

const withTrouble = process.env.TROUBLE !== '0';
const prefix = '/proofs/';
const id = '5c0e7a21d94b36f8';
const task = `${id}.0.0.0`;
const workMs = 12_000;
/** `finish_s` of the site, and the time without a run from which the rule counts, in milliseconds. */
const finishMs = 14_000;
const idleMs = 3_000;

const world = new World({recordFile: fileURLToPath(new URL('record.txt', import.meta.url))});

await runCase(world, async () => {
  // As in the site: most workers have 16 cores, some have 24.
  const workers = [{cpu: 24_000}, ...Array.from({length: 6}, () => ({cpu: 16_000}))];
  await world.start({routes: [{name: 'proofs', prefix, priority: 2}], workers});
  const behaviour = {durationMs: workMs};
  const step = {count: 1, cpu: 15_500, memory_request_mb: 6_400, estimated_ms: workMs, behaviour};
  const {status} = await world.submit(prefix, id, [step]);
  if (status !== 200) throw new Error(`not accepted: ${status}`);
  const found = await world.waitFor('run of the task', 10_000, () => world.findRun(task));
  await delay(3_000);
  if (withTrouble) await found.worker.crash();
  // No more traffic: the submission was the last one.
  await delay(finishMs);
  for (let idleSince = world.now; world.now - idleSince < idleMs / 1_000; await delay(50)) {
    if (world.findRun(task) !== undefined) idleSince = world.now;
    const {body} = await world.send('GET', prefix + id);
    if (body?.state === 'completed') return undefined;
  }
  const {body} = await world.send('GET', prefix + id);
  const free = world.workers.filter(({incarnation}) => incarnation?.runs.size === 0).length;
  return `nothing of the submission (${body?.state}) ran for 3 s, with ${free} empty workers of 16 cores`;
});
