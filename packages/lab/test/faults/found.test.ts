import {AgentExchanges} from '@chervilbeam/coordination';
import t from 'tap';
import {hasPassed, parseCase} from '../../src/faults/fault-case.js';
import {runCaseInNamedWorld} from '../../src/faults/matrix-run.js';
import {runInMemory} from '../../src/histories/memory-run.js';

// Cases that once failed. The name of each test tells the failure that it guards against.
const found = [
  {
    name: 'an agent gives no new work to a backend server that announced draining',
    text: 'requests seed=555288 freeze-entry@announce/before-effect+0',
  },
  {
    name: 'an entry is not blamed for an unknown outcome after a cut during its shutdown',
    text: 'requests seed=573544 kill-host@heartbeat/before-answer+3',
  },
  {
    name: 'a checkpoint that no report brought to the ledger is not required of the next run',
    text: 'tasks seed=645848 cut@stop/before-answer+1',
  },
  {
    name: 'a confirmation that is repeated elsewhere is not refused while the first is in doubt',
    text: 'configuration seed=271397 store-slow@store:put:config/before-send+3',
  },
];

for (const {name, text} of found) {
  void t.test(name, async t => {
    const result = runCaseInNamedWorld(parseCase(text));
    t.equal(result.error, undefined);
    t.same(result.violations, [], text);
  });
}

void t.test('a new owner waits for the lease of the former one when an agent is lost', async t => {
  const run = runInMemory('tasks', 14, 6);
  const found = run.violations.filter(violation => violation.promise === 'single-placement');
  t.same(found, [], `tasks seed 14, ${run.faults.join(' ')}`);
});

void t.test('a start that the worker carries out late does not overload the host', async t => {
  const broken: string[] = [];
  for (let seed = 1; seed <= 60; seed++) {
    const text = `tasks seed=${seed} reorder@worker:start/before-send+${seed % 18}`;
    if (!hasPassed(runCaseInNamedWorld(parseCase(text)))) broken.push(text);
  }
  t.same(broken, []);
});

void t.test(
  'a host whose only backend server is leaving is announced as leaving, so that no task starts there',
  async t => {
    const capacity = {processors: 4_000, memoryMb: 8_000, accelerators: 0, slots: 8};
    const agent = new AgentExchanges({host: 'h1', rack: 'r1', capacity});
    const backend = {
      kind: 'backend-announced',
      url: 'http://127.0.0.1:1',
      services: ['s'],
    } as const;
    const announce = (draining: boolean, at: number) =>
      agent.reduce({...backend, slots: 8, connections: 64, draining}, at);
    announce(false, 0);
    const leaving = announce(true, 1_000).flatMap(e => (e.kind === 'announce' ? [e.message] : []));
    t.equal(leaving.at(-1)?.draining, true);
  },
);
