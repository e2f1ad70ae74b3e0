import {existsSync, readFileSync} from 'node:fs';
import {isPassing, compareWithKnownRed, parseKnownRed} from './known-red-list.js';
import {parseTapResults} from './tap-results.js';

// Checks test results against the known failures: reads the output of `tap --reporter=tap` from standard input and the
// list from the path in the first argument.
const path = process.argv[2] ?? 'KNOWN-RED.txt';
const list = existsSync(path) ? parseKnownRed(readFileSync(path, 'utf8')) : [];
const run = parseTapResults(readFileSync(0, 'utf8'));
const verdict = compareWithKnownRed(run, list);

for (const entry of verdict.knownRed) console.log(`known red: ${entry.test}\n${entry.details}`);
for (const name of verdict.stale) {
  console.log(`listed in ${path}, but it passed or did not run: ${name}`);
}
for (const name of verdict.failed) {
  console.log(`failed: ${name}`);
  console.log(run.results.find(result => result.name === name && !result.ok)?.lines.join('\n'));
}
if (!verdict.isComplete) console.log('The test output is not complete.');
const problemCount = verdict.failed.length + verdict.stale.length + (verdict.isComplete ? 0 : 1);
console.log(
  `${verdict.passed} passed, ${problemCount} failed, ${verdict.knownRed.length} known red`,
);
process.exitCode = isPassing(verdict) ? 0 : 1;
