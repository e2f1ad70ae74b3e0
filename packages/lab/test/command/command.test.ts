import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {runCommand} from '@chervilbeam/command';
import {StoreServer} from '@chervilbeam/standins';
import t, {type Test} from 'tap';
import {OperatorEntry} from '../../src/operator/index.js';

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/** Test deployment: a store, two entries and a temporary folder. */
class TestBench {
  readonly folder = mkdtempSync(join(tmpdir(), 'chervilbeam-'));
  readonly store = new StoreServer({latencyMs: 0});
  readonly entries: OperatorEntry[] = [];
  readonly addresses: string[] = [];

  /** Starts the store and the entries, and waits until each entry knows the configuration. */
  static async start(t: Test): Promise<TestBench> {
    const bench = new TestBench();
    const url = await bench.store.listen();
    for (const [index, name] of ['entry-a', 'entry-b'].entries()) {
      const entry = new OperatorEntry(name, 1000 + index, url);
      bench.entries.push(entry);
      bench.addresses.push(await entry.start());
    }
    t.teardown(async () => {
      for (const entry of bench.entries) await entry.close();
      await bench.store.close();
      rmSync(bench.folder, {recursive: true});
    });
    while (!bench.entries.every(entry => entry.view.isKnown)) await sleep10Ms();
    return bench;
  }

  /** Returns the path of a file in the temporary folder, and writes the content there as JSON if it is given. */
  file(name: string, content?: unknown): string {
    const path = join(this.folder, name);
    if (content !== undefined) writeFileSync(path, JSON.stringify(content));
    return path;
  }

  /** Runs a command line. `answer` is the operator's reply to a question; without it there is no terminal. */
  async run(
    line: string,
    options: {entries?: string[]; answer?: string; signal?: AbortSignal} = {},
  ): Promise<CommandResult> {
    const out: string[] = [];
    const error: string[] = [];
    const entries = options.entries ?? this.addresses;
    const code = await runCommand(line.split(' '), {
      print: text => out.push(text),
      printError: text => error.push(text),
      isTerminal: options.answer !== undefined,
      environment: {CHERVILBEAM_ENTRIES: entries.join(','), CHERVILBEAM_OPERATOR: 'Kari'},
      signal: options.signal ?? new AbortController().signal,
      ask: async () => options.answer ?? '',
    });
    return {code, out: out.join('\n'), error: error.join('\n')};
  }
}

function sleep10Ms(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 10));
}

/** Starts a control port that accepts requests and closes the connection without an answer. */
async function startSilentPort(t: Test): Promise<string> {
  const server: Server = createServer(request => request.socket.destroy());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const intent = {
  operator: 'Kari',
  teams: [{name: 'stalls', quota: {processors: 8000}}],
  services: [
    {
      name: 'price-check',
      team: 'stalls',
      urgency: 'critical',
      resources: {processors: 500, slots: 4},
      replicas: 3,
    },
  ],
};

void t.test(
  'a plan takes effect only when it is confirmed, and is refused when its file was edited',
  async t => {
    const bench = await TestBench.start(t);
    const plan = bench.file('plan.json');
    const planned = await bench.run(`plan ${bench.file('intent.json', intent)} --out ${plan}`);
    t.match(planned, {code: 0, out: /start +price-check +3/});
    const status = await bench.run('status');
    t.match(status, {code: 0, out: /configuration version 0/});
    t.match(status.out, /entry-a[^]+entry-b/, 'all entries are asked');
    t.match(await bench.run(`show ${plan}`), {code: 0, out: /set service price-check/});
    t.match(await bench.run(`confirm ${plan}`), {code: 0, out: /Accepted as version 1/});
    t.match(
      await bench.run(`confirm ${plan}`),
      {code: 0, out: /Accepted as version 1/},
      'repeated',
    );
    const edited = readFileSync(plan, 'utf8').replace('"tasks": 3', '"tasks": 300');
    writeFileSync(plan, edited);
    t.match(await bench.run(`confirm ${plan}`), {
      code: 1,
      error: /digest.*changed after it was made/,
    });
  },
);

void t.test(
  'a plan on an outdated base version is refused, and the changes since then are shown',
  async t => {
    const bench = await TestBench.start(t);
    const plan = bench.file('plan.json');
    await bench.run(`plan ${bench.file('intent.json', intent)} --out ${plan}`);
    t.match(await bench.run('drain host-7 --yes'), {code: 0});
    const refused = await bench.run(`confirm ${plan}`);
    t.match(refused, {code: 3, out: '', error: /version 1 by Kari\n +drain host host-7/});
    t.match(await bench.run('cancel nothing --yes'), {code: 1, error: /cancel\[0\]: nothing/});
  },
);

void t.test(
  'the plan comes from the entry that schedules, even when another entry precedes it in the list',
  async t => {
    const bench = await TestBench.start(t);
    const file = bench.file('intent.json', intent);
    t.match(await bench.run(`plan ${file}`), {code: 0, out: /this entry schedules no cell/});
    const effect = {workload: 'price-check', tasks: 3, hosts: ['host-9'], reason: 'there is room'};
    (bench.entries[1] as OperatorEntry).prediction = [{action: 'start', ...effect}];
    t.match(await bench.run(`plan ${file}`), {code: 0, out: /scheduler predicts[^]+host-9/});
  },
);

void t.test('during a store outage no change is accepted, and the exit code is 4', async t => {
  const bench = await TestBench.start(t);
  bench.store.setFaults({outage: 'refuse'});
  const run = await bench.run('drain host-7 --yes --json');
  t.match(run, {code: 4, out: /"unavailable"/, error: /nothing was changed/});
});

void t.test(
  'the outcome is unknown when an entry accepted the call and did not answer',
  async t => {
    const bench = await TestBench.start(t);
    const plan = bench.file('plan.json');
    await bench.run(`plan ${bench.file('intent.json', intent)} --out ${plan}`);
    const silent = await startSilentPort(t);
    bench.store.setFaults({outage: 'refuse'});
    const entries = [silent, ...bench.addresses];
    t.match(await bench.run(`confirm ${plan}`, {entries}), {code: 5, error: /Unknown/});
    t.match(await bench.run(`confirm ${plan}`, {entries: [silent]}), {code: 5, error: /Unknown/});
    t.match(await bench.run(`confirm ${plan}`, {entries: ['127.0.0.1:1']}), {code: 4});
    bench.store.setFaults({outage: 'none'});
    t.match(await bench.run(`confirm ${plan}`, {entries}), {code: 0}, 'the next entry answers');
  },
);

void t.test(
  'no change is made, and no host is declared lost, without the confirmation of the operator',
  async t => {
    const bench = await TestBench.start(t);
    t.match(await bench.run('drain host-7'), {code: 2, error: /--yes/}, 'not on a terminal');
    t.match(await bench.run('drain host-7', {answer: 'n'}), {code: 3, error: /not confirmed/});
    t.match(await bench.run('drain host-7', {answer: 'y'}), {code: 0});
    t.match(await bench.run('drain host-7', {answer: 'y'}), {code: 0, out: /nothing to change/});
    t.match(await bench.run('lost host-7', {answer: 'host-8'}), {code: 3});
    t.match(await bench.run('lost host-7', {answer: 'host-7'}), {code: 0});
    t.same(bench.entries[0]?.lostHosts, ['host-7']);
    t.match(await bench.run('lost other --yes'), {code: 1, error: /does not schedule/});
  },
);

void t.test(
  'errors go to standard error and help to standard output, each with its exit code',
  async t => {
    const bench = await TestBench.start(t);
    const invalidIntent = bench.file('wrong.json', {operator: 'Kari', services: [{replicas: 'x'}]});
    const settings = bench.file('settings.json', {role: 'entry', name: 'A B'});
    const cases: Array<{line: string; code: number; out?: RegExp; error?: RegExp}> = [
      {line: '--help', code: 0, out: /Exit codes/},
      {line: 'nonsense', code: 2, error: /unknown command/},
      {line: 'watch --until soon', code: 2, error: /whole number/},
      {line: 'timeline', code: 2, error: /give one of/},
      {line: 'plan /nonexistent', code: 1, error: /cannot read .*ENOENT/},
      {
        line: `validate ${invalidIntent}`,
        code: 1,
        error: /services\[0\]\.replicas: "x" is not allowed/,
      },
      {line: `validate ${settings}`, code: 1, error: /settings\.json: name: "A B"/},
      {line: 'status --entry 127.0.0.1:1', code: 4, error: /127\.0\.0\.1:1: not reached/},
      {line: `plan ${invalidIntent}`, code: 1, error: /services\[0\]\.urgency: missing/},
      {line: 'status --entry not:an:address', code: 2, error: /not an address/},
    ];
    for (const {line, code, out, error} of cases) {
      const run = await bench.run(line);
      t.equal(run.code, code, line);
      t.match(run.out, out ?? /^$/, line);
      t.match(run.error, error ?? /^$/, line);
    }
    for (const name of 'validate plan show confirm status watch drain cancel lost timeline'.split(
      ' ',
    )) {
      t.match(
        await bench.run(`${name} --help`),
        {code: 0, out: /Example:\n +\$ chervilbeam/},
        name,
      );
    }
  },
);

void t.test('the timeline of a version merges all processes and writes a trace', async t => {
  const bench = await TestBench.start(t);
  await bench.run('drain host-7 --yes');
  while (bench.entries.some(entry => entry.view.configuration.version < 1)) await sleep10Ms();
  const trace = bench.file('trace.json');
  const run = await bench.run(`timeline --configuration 1 --trace ${trace}`);
  t.match(run, {code: 0, out: /entry-a +configuration 1 +in-force/, error: ''});
  t.match(run.out, /entry-b +configuration 1 +in-force/);
  const {traceEvents} = JSON.parse(readFileSync(trace, 'utf8')) as {traceEvents: unknown[]};
  t.ok(traceEvents.length > 4);
  t.match(await bench.run('watch --until 1 --json'), {code: 0, out: /"version":1/});
});

void t.test('Ctrl-C ends a watch at once with exit code 130', async t => {
  const bench = await TestBench.start(t);
  const interrupt = new AbortController();
  const watch = bench.run('watch', {signal: interrupt.signal});
  await sleep10Ms();
  interrupt.abort();
  t.match(await watch, {code: 130, error: ''});
});
