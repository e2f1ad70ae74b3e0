import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {getRunningProcessCount} from '@chervilbeam/standins';
import {demoPlans} from './demo-plan.js';
import {DemoScenario} from './demo-scenario.js';
import {formatResults, getPromiseResults, isKept} from './promise-report.js';

/** Maximum number of lines printed of the violations of one promise, and of the errors of one deployment. */
const maxShownLines = 3;
const interruptedStatus = 130;

const startedAt = performance.now();
const scenarios = demoPlans.map(plan => {
  const log = (text: string) => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(1).padStart(5);
    console.log(`${seconds} s  ${plan.deployment}: ${text}`);
  };
  return {plan, scenario: new DemoScenario(plan, log)};
});

const stopAll = () => Promise.allSettled(scenarios.map(({scenario}) => scenario.stop()));
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    void stopAll().then(() => process.exit(interruptedStatus));
  });
}

let areAllKept = true;
const runs = await Promise.allSettled(scenarios.map(({scenario}) => scenario.run()));
await stopAll();
const directory = join('output', 'demo');
mkdirSync(directory, {recursive: true});
runs.forEach((run, index) => {
  const {plan, scenario} = scenarios[index] as (typeof scenarios)[number];
  const errors = scenario.getErrors();
  writeFileSync(join(directory, `${plan.deployment}-errors.txt`), errors.join('\n'));
  if (errors.length > 0) console.log(`\n${plan.deployment}: ${errors.length} error lines`);
  for (const line of errors.slice(0, maxShownLines)) console.log(`  ${line.slice(0, 300)}`);
  if (run.status === 'rejected') {
    areAllKept = false;
    console.log(`\n${plan.deployment}: the run failed: ${String(run.reason)}`);
    return;
  }
  const lines = run.value.map(event => JSON.stringify(event));
  writeFileSync(join(directory, `${plan.deployment}.jsonl`), lines.join('\n'));
  const results = getPromiseResults(run.value);
  console.log(`\n${formatResults(plan.deployment, results)}`);
  for (const {violations} of results) {
    for (const violation of violations.slice(0, maxShownLines)) {
      console.log(`  ${violation.promise}: ${violation.subject}: ${violation.detail}`);
    }
  }
  if (!results.every(isKept)) areAllKept = false;
});
console.log(
  `\n${getRunningProcessCount()} processes left; promises ${areAllKept ? 'kept' : 'NOT kept'}`,
);
process.exitCode = areAllKept && getRunningProcessCount() === 0 ? 0 : 1;
