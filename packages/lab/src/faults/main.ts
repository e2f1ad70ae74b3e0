import {formatCase, hasPassed, parseCase, type CaseResult} from './fault-case.js';
import {formatRun, runMatrix, runCaseInNamedWorld} from './matrix-run.js';

const defaultSeed = 20_261_204;
const maxShownFailures = 20;

function formatFailure(result: CaseResult): string {
  const lines = result.violations.map(v => `  ${v.promise} ${v.subject} at ${v.at}: ${v.detail}`);
  if (result.error) lines.push(`  ${result.error}`);
  return [`FAILED ${formatCase(result.case)}`, ...lines.slice(0, 4)].join('\n');
}

function runOne(text: string): void {
  const result = runCaseInNamedWorld(parseCase(text));
  console.log(
    hasPassed(result) ? `passed, injected: ${result.injected.join(', ')}` : formatFailure(result),
  );
  process.exitCode = hasPassed(result) ? 0 : 1;
}

function runAll(): void {
  const options = {
    seed: Number(process.env.SEED ?? defaultSeed),
    singlesPerCell: Number(process.env.SINGLES ?? 2),
    pairCount: Number(process.env.PAIRS ?? 600),
    worlds: process.env.WORLDS?.split(','),
  };
  const run = runMatrix(options);
  console.log(formatRun(run, options));
  for (const failure of run.failures.slice(0, maxShownFailures))
    console.log(formatFailure(failure));
  const hidden = run.failures.length - maxShownFailures;
  if (hidden > 0) console.log(`and ${hidden} more failing cases`);
  console.log(`${run.passed} passed, ${run.failures.length} failed`);
  process.exitCode = run.failures.length === 0 ? 0 : 1;
}

// CASE='...' repeats one case, given as printed after FAILED. Otherwise SEED, SINGLES (cases a cell), PAIRS (cases with
// two faults) and WORLDS (names separated by commas) select the cases to run.
if (process.env.CASE) runOne(process.env.CASE);
else runAll();
