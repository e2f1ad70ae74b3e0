import type {TestRun} from './tap-results.js';

/** Entry of KNOWN-RED.txt: a test that fails because of a known fault that is not fixed yet. */
export interface KnownRedEntry {
  readonly test: string;
  /** Remaining lines of the entry: command, seed, what was seen and issue; printed when the test fails. */
  readonly details: string;
}

/** Result of comparing a test run with the known failures. */
export interface Verdict {
  /** Entries whose test failed. */
  readonly knownRed: readonly KnownRedEntry[];
  /** Names of tests that failed and are not listed. */
  readonly failed: readonly string[];
  /** Names of listed tests that passed or did not run; their entries must be removed. */
  readonly stale: readonly string[];
  /** Number of passed tests. */
  readonly passed: number;
  /** Whether the test output was complete; without it a missing test would go unnoticed. */
  readonly isComplete: boolean;
}

/**
 * Parses KNOWN-RED.txt. An entry starts with `test: <file> > <test>`; the lines up to the next empty line name the
 * command, the seed, what was seen and the issue. Lines that start with `#` are ignored. Throws when an entry does not
 * start with a test name.
 */
export function parseKnownRed(text: string): KnownRedEntry[] {
  const entries: KnownRedEntry[] = [];
  for (const block of text.split(/\n\s*\n/)) {
    const lines = block.split('\n').filter(line => line.trim() && !line.startsWith('#'));
    const first = lines[0];
    if (first === undefined) continue;
    if (!first.startsWith('test: '))
      throw new Error(`KNOWN-RED.txt: entry does not start with "test: ": ${first}`);
    entries.push({test: first.slice('test: '.length).trim(), details: lines.slice(1).join('\n')});
  }
  return entries;
}

/** Compares the results of a test run with the known failures. */
export function compareWithKnownRed(run: TestRun, list: readonly KnownRedEntry[]): Verdict {
  const listed = new Set(list.map(entry => entry.test));
  const failed = new Set(run.results.filter(result => !result.ok).map(result => result.name));
  return {
    knownRed: list.filter(entry => failed.has(entry.test)),
    failed: [...failed].filter(name => !listed.has(name)),
    stale: [...listed].filter(name => !failed.has(name)),
    passed: run.results.filter(result => result.ok).length,
    isComplete: run.isComplete,
  };
}

/** Returns whether the build passes: the output is complete, and exactly the listed tests failed. */
export function isPassing(verdict: Verdict): boolean {
  return verdict.isComplete && verdict.failed.length === 0 && verdict.stale.length === 0;
}
