import {formatCase, isPassed, parseCase, type CaseResult} from './fault-case.js';
import {formatRun, runMatrix, runNamed} from './matrix-run.js';

const defaultSeed = 20_261_204;
const shownFailures = 20;

function describe(result: CaseResult): string {
  const lines = result.violations.map(v => `  ${v.promise} ${v.subject} at ${v.at}: ${v.detail}`);
  if (result.error) lines.push(`  ${result.error}`);
  return [`FAILED ${formatCase(result.case)}`, ...lines.slice(0, 4)].join('\n');
}

function runOne(text: string): void {
  const result = runNamed(parseCase(text));
  console.log(isPassed(result) ? `passed, struck ${result.struck.join(', ')}` : describe(result));
  process.exitCode = isPassed(result) ? 0 : 1;
}

function runAll(): void {
  const options = {
    seed: Number(process.env.SEED ?? defaultSeed),
    singles: Number(process.env.SINGLES ?? 2),
    pairs: Number(process.env.PAIRS ?? 600),
    worlds: process.env.WORLDS?.split(','),
  };
  const run = runMatrix(options);
  console.log(formatRun(run, options));
  for (const failure of run.failures.slice(0, shownFailures)) console.log(describe(failure));
  const hidden = run.failures.length - shownFailures;
  if (hidden > 0) console.log(`and ${hidden} more failing cases`);
  console.log(`${run.passed} passed, ${run.failures.length} failed`);
  process.exitCode = run.failures.length === 0 ? 0 : 1;
}

// A case as printed in a line that begins with FAILED is repeated with CASE='...'.
if (process.env.CASE) runOne(process.env.CASE);
else runAll();
