// An unhealthy worker refuses a start late; meanwhile the owner gets SIGTERM, and the next one starts the task.
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase, service} from '../standins/world.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const route = {host: 'nony24.example', prefix: '/print-proof/'};
const configuration = {
  version: 7,
  routes: [
    {
      name: 'print-proof',
      ...route,
      kind: 'non_idempotent',
      timeout_ms: 3_000,
      target_latency_ms: 1_000,
      priority: 2,
      service,
      max_attempts: 2,
      stretch_factor: 2,
    },
  ],
  services: [{name: service, enforces_capacity: true}],
};
const id = '0a94be61d37c52f8';
const taskCount = 4;
/** As on the sheet; one of them is unhealthy. */
const workerCount = 11;
/** Time in milliseconds after which the unhealthy worker refuses the first start. */
const refusalMs = 950;
/** Time in milliseconds for which the workers are watched. */
const watchMs = 7_000;

await runCase(join(folder, 'record.txt'), async (world, isTroubled) => {
  const workers = Array.from({length: workerCount}, () => ({cores: 16}));
  // The entries start one after the other, as in a rolling restart.
  await world.start({configuration, workers, staggerMs: 800});
  const {name: owner} = world.store.get('work/owner');
  const ownerIndex = world.entries.findIndex(entry => entry.name === owner);
  const entry = 1 + ((ownerIndex + 1) % world.entries.length);
  if (isTroubled) for (const worker of world.workers) worker.refuseStarts(1, refusalMs);
  const spec = JSON.stringify({workMs: 9_000, cores: 1.8, memoryMb: 3_200});
  const step = {count: taskCount, cpu: 1_800, memory_request_mb: 3_200, estimated_ms: 9_000};
  void world.ask(entry, 'POST', route, id, {body: {spec, steps: [step]}});
  await world.waitFor('the first start', 5_000, () =>
    world.events.some(({event}) => event === 'start' || event === 'unhealthy'),
  );
  if (isTroubled) {
    // Only the worker that got the first start is unhealthy, for this one call.
    for (const worker of world.workers) worker.refuseStarts(0, 0);
    world.entries[ownerIndex].signal('SIGTERM');
  }
  const end = Date.now() + watchMs;
  while (Date.now() < end) {
    const runsByTask = new Map();
    for (const {task, run, worker} of world.getRunning(id)) {
      runsByTask.set(task, [...(runsByTask.get(task) ?? []), `run ${run} on ${worker}`]);
    }
    for (const [task, runs] of runsByTask) {
      if (runs.length > 1) {
        await delay(2_000);
        return `TWICE: task ${task} runs twice at a time: ${runs.join(', ')}`;
      }
    }
    await delay(10);
  }
  return undefined;
});
