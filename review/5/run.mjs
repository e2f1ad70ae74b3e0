// The owner is killed after the operator has removed the route of a submission that can never be done.
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase, service} from '../standins/world.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const host = 'nony24.example';
const route = {host, prefix: '/print-proof/'};
const maxAttempts = 2;

function createConfiguration(version, prefixes) {
  const routes = prefixes.map(prefix => ({
    name: prefix.replaceAll('/', ''),
    host,
    prefix,
    kind: 'non_idempotent',
    timeout_ms: 3_000,
    target_latency_ms: 1_000,
    priority: 2,
    service,
    max_attempts: maxAttempts,
    stretch_factor: 2,
  }));
  return {version, routes, services: [{name: service, enforces_capacity: true}]};
}

const id = 'e3a1f08c5d7b2946';
/** Time in milliseconds for which starts are counted after the owner was killed. */
const watchMs = 40_000;
/** Number of starts too many after which the case ends. */
const minExcess = 5;

await runCase(join(folder, 'record.txt'), async (world, isTroubled) => {
  await world.start({
    configuration: createConfiguration(7, ['/price-check/', route.prefix]),
    workers: Array.from({length: 4}, () => ({cores: 16})),
  });
  const spec = JSON.stringify({workMs: 2_400, fails: true, cores: 1.8, memoryMb: 3_200});
  await world.submit(route, id, {
    spec,
    steps: [{count: 1, cpu: 1_800, memory_request_mb: 3_200, estimated_ms: 2_400}],
  });
  await world.waitFor('the first run', 10_000, () => world.getRunning(id).length > 0);
  world.record('the operator removes the route: version 12');
  world.store.put('op/config', createConfiguration(12, ['/price-check/']));
  await delay(1_000);
  const {name} = world.store.get('work/owner');
  if (isTroubled) world.entries.find(entry => entry.name === name).signal('SIGKILL');
  const end = Date.now() + watchMs;
  while (Date.now() < end) {
    let noted = 0;
    let excess = 0;
    for (const {event, how} of world.events) {
      if (event === 'noted' && how === 'failed') noted += 1;
      if (event === 'start' && noted >= maxAttempts) excess += 1;
    }
    if (excess >= minExcess) {
      const starts = world.events.filter(({event}) => event === 'start').length;
      return `BUDGET: ${starts} starts of one task, ${excess} of them after ${maxAttempts} failed ends were taken note of`;
    }
    await delay(100);
  }
  return undefined;
});
