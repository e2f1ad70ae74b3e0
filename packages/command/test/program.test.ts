import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import t from 'tap';
import {runCommand} from '../src/program.js';

interface Output {
  readonly code: number;
  readonly out: string;
  readonly errors: string;
}

/** Runs the command against an entry that answers each path with the given status and body. */
async function run(
  args: readonly string[],
  answers: Readonly<Record<string, readonly [number, unknown]>> = {},
): Promise<Output> {
  const server = createServer((request, response) => {
    const [status, body] = answers[request.url ?? ''] ?? [404, {}];
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const out: string[] = [];
  const errors: string[] = [];
  const {port} = server.address() as AddressInfo;
  const code = await runCommand(args, {
    print: text => void out.push(text),
    printError: text => void errors.push(text),
    isTerminal: false,
    environment: {CHERVILBEAM_ENTRIES: `127.0.0.1:${port}`},
    signal: new AbortController().signal,
    ask: async () => 'no',
  });
  server.closeAllConnections();
  server.close();
  return {code, out: out.join('\n'), errors: errors.join('\n')};
}

function writeIntent(value: unknown): string {
  const file = join(mkdtempSync(join(tmpdir(), 'intent-')), 'intent.json');
  writeFileSync(file, JSON.stringify(value));
  return file;
}

const intentWithFourMistakes = writeIntent({
  operator: 'Kari',
  teams: [{name: 'Print', quota: {processors: 1}}],
  services: [
    {name: 'a', team: 'b', urgency: 'high', resources: {processors: -1}, replicas: 1, colour: 1},
  ],
});

const status = {
  deployment: 'd',
  version: 3,
  processes: [
    {name: 'entry-1', role: 'entry', region: 'r', dataCentre: 'c', version: 3},
    {name: 'host-1', role: 'agent', region: 'r', dataCentre: 'c', version: 2},
  ],
  workloads: [
    {name: 'proofs', kind: 'batch', team: 'print', tasks: 9, running: 2, waiting: 3, finished: 4},
  ],
  findings: [{workload: 'proofs', reason: 'never-runnable'}],
};

const cases = [
  {
    guards: 'only the first mistake of a file is reported',
    args: ['validate', intentWithFourMistakes],
    code: 1,
    text: ['teams[0].name', 'services[0].urgency', 'services[0].resources.processors', 'colour'],
  },
  {
    guards:
      'a version that some processes do not run yet is shown as in force, or progress is not shown',
    args: ['status'],
    answers: {'/v1/status': [200, status]},
    code: 0,
    text: ['behind by 1', 'in force', '4 of 9', 'never-runnable'],
  },
  {
    guards: '--json prints the table, which scripts cannot parse',
    args: ['status', '--json'],
    answers: {'/v1/status': [200, status]},
    code: 0,
    text: ['"finished"'],
  },
  {
    guards: 'an unavailable entry is reported as success',
    args: ['status'],
    answers: {'/v1/status': [503, {}]},
    code: 4,
    text: ['answered 503'],
  },
  {guards: 'a misspelt command is ignored silently', args: ['stauts'], code: 2, text: ['status']},
] as const;

void t.test('the exit code and the output report the result of each command', async t => {
  for (const testCase of cases) {
    const answers = 'answers' in testCase ? testCase.answers : {};
    const {code, out, errors} = await run(testCase.args, answers as never);
    t.equal(code, testCase.code, testCase.guards);
    for (const text of testCase.text)
      t.match(`${out}\n${errors}`, text, `${testCase.guards}: ${text}`);
  }
});

const explainedId = '00000000000000a1';
const logFile = join(mkdtempSync(join(tmpdir(), 'log-')), 'entry.log');
const logLine = {
  process: 'entry-1',
  event: 'submission-refused',
  submission: explainedId,
  reason: 'backlog',
  ageMs: 40,
  time: '2026-01-01T00:00:00.000Z',
};
writeFileSync(logFile, `starting\n${JSON.stringify(logLine)}\n`);

const explanations: ReadonlyArray<{
  readonly name: string;
  readonly args: readonly string[];
  readonly code: number;
  readonly out?: RegExp;
  readonly errors?: RegExp;
}> = [
  {
    name: 'tells why a submission was refused, and which lines it left out',
    args: [explainedId, logFile],
    code: 0,
    out: /^Refused 1 times: 1 backlog[^]*entry-1 +submission-refused +reason=backlog ageMs=40$/,
    errors: /entry.log: 1 lines are not log lines and were left out, the first at line 1/,
  },
  {
    name: 'prints JSON',
    args: [explainedId, logFile, '--json'],
    code: 0,
    out: /"findings": \[\n +"Refused 1 times/,
  },
  {
    name: 'reports an id that the logs do not name',
    args: ['00000000000000a2', logFile],
    code: 1,
    errors: /no line of the logs names 00000000000000a2/,
  },
  {
    name: 'rejects what is not an id',
    args: ['proofs', logFile],
    code: 2,
    errors: /id "proofs"; allowed: 16 hexadecimal digits/,
  },
  {
    name: 'reports a file that cannot be read',
    args: [explainedId, `${logFile}.old`],
    code: 1,
    errors: /cannot read .*entry.log.old: ENOENT/,
  },
];
for (const {name, args, code, out, errors} of explanations) {
  void t.test(`explain ${name}`, async t => {
    const result = await run(['explain', ...args]);
    t.equal(result.code, code);
    if (out) t.match(result.out, out);
    if (errors) t.match(result.errors, errors);
  });
}
