// A ping from another writer, for a service that is not named, arrives at a machine whose worker runs tasks.
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
const id = '5c0e7a21d94b36f8';
const taskCount = 8;
/** Time in milliseconds for which the workers are watched after the ping. */
const watchMs = 12_000;
/** Time in milliseconds after the first overlap at which the overlaps are counted again. */
const overlapMs = 2_000;

await runCase(join(folder, 'record.txt'), async (world, isTroubled) => {
  await world.start({configuration, workers: Array.from({length: 4}, () => ({cores: 16}))});
  const spec = JSON.stringify({workMs: 9_000, cores: 1.8, memoryMb: 3_200});
  await world.submit(route, id, {
    spec,
    steps: [{count: taskCount, cpu: 1_800, memory_request_mb: 3_200, estimated_ms: 9_000}],
  });
  await world.waitFor('all tasks to run', 10_000, () => world.getRunning(id).length === taskCount);
  await delay(1_500);
  const machine = world.workers.find(worker =>
    world.getRunning(id).some(run => run.worker === worker.id),
  );
  if (isTroubled) {
    const ping = {
      service: 'lager-kopi',
      address: `${machine.options.host}:${world.ports.app}`,
      zone: 'bergen-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: {cpu: 16_000, memory_request_mb: 62_500, gpu: 0},
      labels: ['a', 'r1-1'],
      clock_ms: 10,
      born: Date.now(),
      sequence: 1,
    };
    const [host, port] = machine.options.control.split(':');
    const path = '/chervilbeam/workers/i-other-1';
    world.record(`another writer sends PUT ${path} to ${host}:${port} ${JSON.stringify(ping)}`);
    const {status} = await world.call(host, port, 'PUT', path, {body: ping});
    world.record(`another writer gets ${status}`);
  }
  /** Returns the tasks with two runs at the same time, each with its runs. */
  const findDoubleRuns = () => {
    const runsByTask = new Map();
    for (const {task, run, worker} of world.getRunning(id)) {
      runsByTask.set(task, [...(runsByTask.get(task) ?? []), `run ${run} on ${worker}`]);
    }
    return [...runsByTask].filter(([, runs]) => runs.length > 1);
  };
  const end = Date.now() + watchMs;
  while (Date.now() < end) {
    const doubleRuns = findDoubleRuns();
    if (doubleRuns.length > 0) {
      const [[task, runs]] = doubleRuns;
      await delay(overlapMs);
      const later = `${findDoubleRuns().length} tasks do so ${overlapMs} ms later`;
      return `TWICE: task ${task} runs twice at a time: ${runs.join(', ')}; ${later}`;
    }
    await delay(20);
  }
  return undefined;
});
