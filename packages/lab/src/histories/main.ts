import {mkdirSync, writeFileSync} from 'node:fs';
import {runInMemory} from './memory-run.js';
import {runProcesses} from './processes/process-run.js';
import type {HistoryEvent} from './history-event.js';
import {promises, type PromiseName} from './promise.js';

// Checks the histories of RUNS simulated runs of each world and of PROCESS_RUNS runs of real processes. The runs use
// consecutive seeds from SEED.
const seed = Number(process.env.SEED ?? 1);
const runs = Number(process.env.RUNS ?? 100);
const processRuns = Number(process.env.PROCESS_RUNS ?? 2);
const faultsPerRun = 6;
const folder = 'output/histories';

interface RecordedRun {
  readonly world: string;
  readonly seed: number;
  readonly events: readonly HistoryEvent[];
}

function writeEvents(run: RecordedRun): string {
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
    const run = runInMemory(world, seed + i, faultsPerRun);
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
    console.log(`  events in ${writeEvents(run)}`);
  }
  const summary = promises.map(promise => `${promise} ${broken.get(promise) ?? 0}`).join(', ');
  console.log(`${world}: ${runs} runs in memory, ${faults} faults, ${events} events; ${summary}`);
}
for (let i = 0; i < processRuns; i++) {
  const run = await runProcesses(seed + i);
  const broken = new Map<PromiseName, number>();
  for (const {promise} of run.violations) broken.set(promise, (broken.get(promise) ?? 0) + 1);
  const summary = promises.map(promise => `${promise} ${broken.get(promise) ?? 0}`).join(', ');
  const path = writeEvents({world: 'processes', seed: run.seed, events: run.events});
  console.log(`processes seed ${run.seed}, faults ${run.faults.join(' ')}`);
  console.log(`  ${run.events.length} events in ${path}; ${summary}`);
  for (const {promise, subject, at, detail} of run.violations.slice(0, 10)) {
    console.log(`  FAILED ${promise} ${subject} at ${Math.round(at)}: ${detail}`);
  }
  for (const crash of run.crashes) console.log(`  FAILED, a process exited unexpectedly: ${crash}`);
  if (run.violations.length === 0 && run.crashes.length === 0) passed++;
  else failed++;
}
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
