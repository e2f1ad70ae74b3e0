/** Result of one top-level test of a test file. */
export interface TestResult {
  /** `<file> > <test>`, the file relative to the root and without its build folder. */
  readonly name: string;
  readonly ok: boolean;
  /** Lines that the test printed, for display when it failed. */
  readonly lines: readonly string[];
}

/** What a run of all tests printed in the Test Anything Protocol. */
export interface TestRun {
  readonly results: readonly TestResult[];
  /** Whether the output ended as the protocol asks, so that no test is missing. */
  readonly complete: boolean;
}

const outcomePattern = /^( *)(not )?ok \d+ - (.*?)(?: # time=.*)?(?: \{)?$/;

/** Reads the output of `tap --reporter=tap`; a failure outside any test of a file counts as `<file>`. */
export function parseTapResults(output: string): TestRun {
  const results: TestResult[] = [];
  let inFile: TestResult[] = [];
  let plannedInFile = 0;
  let lines: string[] = [];
  let planned = -1;
  let files = 0;
  for (const line of output.split('\n')) {
    lines.push(line);
    const plan = /^1\.\.(\d+)/.exec(line);
    if (plan) planned = Number(plan[1]);
    const planInFile = /^ {4}1\.\.(\d+)/.exec(line);
    if (planInFile) plannedInFile = Number(planInFile[1]);
    const match = outcomePattern.exec(line);
    if (!match || match[1]!.length > 4) continue;
    const ok = match[2] === undefined || / # (TODO|SKIP)\b/.test(match[3]!);
    if (match[1]!.length === 4) {
      inFile.push({name: match[3]!, ok, lines});
    } else if (match[1]!.length === 0) {
      const file = getSourceName(match[3]!);
      files++;
      for (const result of inFile) results.push({...result, name: `${file} > ${result.name}`});
      const broken = inFile.every(result => result.ok) || inFile.length !== plannedInFile;
      if (!ok && broken) results.push({name: file, ok, lines});
      inFile = [];
      plannedInFile = 0;
    }
    if (match[1]!.length === 0 || match[1]!.length === 4) lines = [];
  }
  return {results, complete: planned === files && files > 0};
}

function getSourceName(file: string): string {
  return file.replace('/dist/test/', '/test/').replace(/\.js$/, '.ts');
}
