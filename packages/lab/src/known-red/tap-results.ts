/** Result of one top-level test in a test file. */
export interface TestResult {
  /** `<file> > <test>`, where the file is the TypeScript source relative to the repository root. */
  readonly name: string;
  readonly ok: boolean;
  /** Output of the test, shown when it failed. */
  readonly lines: readonly string[];
}

/** Results of a whole test run, parsed from its output in the Test Anything Protocol (TAP). */
export interface TestRun {
  readonly results: readonly TestResult[];
  /** Whether the output has a plan and results for as many files; false when the run was cut short. */
  readonly isComplete: boolean;
}

/** Matches a result line: indentation, `not ` for a failure, and the name without the duration and opening brace. */
const outcomePattern = /^( *)(not )?ok \d+ - (.*?)(?: # time=.*)?(?: \{)?$/;

/**
 * Parses the output of `tap --reporter=tap`. Result lines without indentation are files, those with 4 spaces are the
 * tests of the file that follows, and those with more are subtests. A failure outside the tests of a file is reported
 * as `<file>`.
 */
export function parseTapResults(output: string): TestRun {
  const results: TestResult[] = [];
  let fileResults: TestResult[] = [];
  let plannedTestCount = 0;
  let lines: string[] = [];
  let plannedFileCount = -1;
  let fileCount = 0;
  for (const line of output.split('\n')) {
    lines.push(line);
    const plan = /^1\.\.(\d+)/.exec(line);
    if (plan) plannedFileCount = Number(plan[1]);
    const planInFile = /^ {4}1\.\.(\d+)/.exec(line);
    if (planInFile) plannedTestCount = Number(planInFile[1]);
    const match = outcomePattern.exec(line);
    if (!match || match[1]!.length > 4) continue;
    const ok = match[2] === undefined || / # (TODO|SKIP)\b/.test(match[3]!);
    if (match[1]!.length === 4) {
      fileResults.push({name: match[3]!, ok, lines});
    } else if (match[1]!.length === 0) {
      const file = getSourceName(match[3]!);
      fileCount++;
      for (const result of fileResults) results.push({...result, name: `${file} > ${result.name}`});
      // The file failed outside its tests: none of them failed, or not as many reported a result as were planned.
      const broken =
        fileResults.every(result => result.ok) || fileResults.length !== plannedTestCount;
      if (!ok && broken) results.push({name: file, ok, lines});
      fileResults = [];
      plannedTestCount = 0;
    }
    if (match[1]!.length === 0 || match[1]!.length === 4) lines = [];
  }
  return {results, isComplete: plannedFileCount === fileCount && fileCount > 0};
}

function getSourceName(file: string): string {
  return file.replace('/dist/test/', '/test/').replace(/\.js$/, '.ts');
}
