import {mkdirSync, writeFileSync} from 'node:fs';
import {runInMemory, type MemoryRun} from './memory-run.js';
import {promises} from './promise.js';

const seed = Number(process.env.SEED ?? 1);
const runs = Number(process.env.RUNS ?? 100);
const strikes = 6;
const folder = 'output/histories';

function write(run: MemoryRun): string {
  const path = `${folder}/${run.world}-${run.seed}.jsonl`;
  writeFileSync(path, run.events.map(event => JSON.stringify(event)).join('\n'));
  return path;
}

mkdirSync(folder, {recursive: true});
let passed = 0;
let failed = 0;
for (const world of ['requests', 'tasks', 'configuration']) {
  let events = 0;
  let faults = 0;
  const broken = new Map<string, number>();
  for (let i = 0; i < runs; i++) {
    const run = runInMemory(world, seed + i, strikes);
    events += run.events.length;
    faults += run.faults.length;
    if (run.violations.length === 0) {
      passed++;
      continue;
    }
    failed++;
    for (const {promise} of run.violations) broken.set(promise, (broken.get(promise) ?? 0) + 1);
    const [first] = run.violations;
    console.log(`FAILED ${world} seed ${run.seed}, faults ${run.faults.join(' ')}`);
    console.log(`  ${first!.promise} ${first!.subject} at ${first!.at}: ${first!.detail}`);
    console.log(`  events in ${write(run)}`);
  }
  const summary = promises.map(promise => `${promise} ${broken.get(promise) ?? 0}`).join(', ');
  console.log(`${world}: ${runs} runs in memory, ${faults} faults, ${events} events; ${summary}`);
}
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
