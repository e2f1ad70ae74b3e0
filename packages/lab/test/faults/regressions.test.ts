import {AgentExchanges} from '@chervilbeam/coordination';
import t from 'tap';
import {hasPassed, parseCase} from '../../src/faults/fault-case.js';
import {runCaseInNamedWorld} from '../../src/faults/matrix-run.js';
import {runInMemory} from '../../src/histories/memory-run.js';

// Fault cases that failed before. Each title states the behaviour that was violated.
const regressionCases = [
  {
    name: 'an agent sends no new work to a backend server that announced draining',
    text: 'requests seed=555288 freeze-entry@announce/before-effect+0',
  },
  {
    name: 'an unknown outcome after a lost connection during shutdown is no violation of the entry',
    text: 'requests seed=573544 kill-host@heartbeat/before-answer+3',
  },
  {
    name: 'the next run need not resume from a checkpoint that no report recorded in the ledger',
    text: 'tasks seed=645848 cut@stop/before-answer+1',
  },
  {
    name: 'a confirmation repeated at another entry is not refused while the outcome of the first is unknown',
    text: 'configuration seed=271397 store-slow@store:put:config/before-send+3',
  },
];

for (const {name, text} of regressionCases) {
  void t.test(name, async t => {
    const result = runCaseInNamedWorld(parseCase(text));
    t.equal(result.error, undefined);
    t.same(result.violations, [], text);
  });
}

void t.test(
  'a new cell owner waits for the leases of the previous owner when an agent is lost, so that no task runs twice',
  async t => {
    const run = runInMemory('tasks', 14, 6);
    const violations = run.violations.filter(violation => violation.promise === 'single-placement');
    t.same(violations, [], `tasks seed 14, ${run.faults.join(' ')}`);
  },
);

void t.test('a start that reaches the worker late does not overload the host', async t => {
  const broken: string[] = [];
  for (let seed = 1; seed <= 60; seed++) {
    const text = `tasks seed=${seed} reorder@worker:start/before-send+${seed % 18}`;
    if (!hasPassed(runCaseInNamedWorld(parseCase(text)))) broken.push(text);
  }
  t.same(broken, []);
});

void t.test(
  'a host whose only backend server drains is announced as draining, so that no task starts there',
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
