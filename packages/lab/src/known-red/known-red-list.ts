import type {TestRun} from './tap-results.js';

/** One test that is known to fail because of a fault that is not fixed yet. */
export interface KnownRed {
  readonly test: string;
  readonly note: string;
}

/** Verdict on a test run against the list of known failures. */
export interface Verdict {
  /** Failed and listed. */
  readonly knownRed: readonly KnownRed[];
  /** Failed and not listed. */
  readonly failed: readonly string[];
  /** Listed, but passed or did not run; the entry must be removed. */
  readonly stale: readonly string[];
  readonly passed: number;
  readonly complete: boolean;
}

/**
 * Reads the list: an entry begins with `test: <file> > <test>`, and the lines up to the next empty line tell the
 * command, the seed, what was seen and the issue. Lines that begin with `#` are ignored.
 */
export function parseKnownRed(text: string): KnownRed[] {
  const entries: KnownRed[] = [];
  for (const block of text.split(/\n\s*\n/)) {
    const lines = block.split('\n').filter(line => line.trim() && !line.startsWith('#'));
    const first = lines[0];
    if (first === undefined) continue;
    if (!first.startsWith('test: ')) throw new Error(`KNOWN-RED.txt: not an entry: ${first}`);
    entries.push({test: first.slice('test: '.length).trim(), note: lines.slice(1).join('\n')});
  }
  return entries;
}

/** Compares a test run with the list of known failures. */
export function judge(run: TestRun, list: readonly KnownRed[]): Verdict {
  const listed = new Set(list.map(entry => entry.test));
  const failed = new Set(run.results.filter(result => !result.ok).map(result => result.name));
  return {
    knownRed: list.filter(entry => failed.has(entry.test)),
    failed: [...failed].filter(name => !listed.has(name)),
    stale: [...listed].filter(name => !failed.has(name)),
    passed: run.results.filter(result => result.ok).length,
    complete: run.complete,
  };
}

/** Tells whether a verdict lets the build pass. */
export function isGreen(verdict: Verdict): boolean {
  return verdict.complete && verdict.failed.length === 0 && verdict.stale.length === 0;
}
