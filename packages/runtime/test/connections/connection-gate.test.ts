import t from 'tap';
import {ConnectionGate} from '../../src/connections/index.js';

/** Waits until the gate has logged and has checked for answers that are not taken. */
function waitForTick(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 1_200));
}

function createGate(maxConnections: number) {
  const lines: unknown[] = [];
  const counts = new Map<string, number>();
  const gate = new ConnectionGate({
    limits: {maxBytes: 1e6, maxConnections, answerTimeoutMs: 100},
    log: {log: (event, fields) => void lines.push({event, ...fields})},
    metrics: {count: name => void counts.set(name, (counts.get(name) ?? 0) + 1)},
  });
  return {gate, lines, counts};
}

// A crowd must not fill the log.
void t.test('occurrences are counted by reason and logged in one line for each', async t => {
  const {gate, lines, counts} = createGate(1);
  const closed: string[] = [];
  for (let index = 0; index < 5; index += 1) gate.open('client', reason => closed.push(reason));
  gate.record('busy');
  t.same(lines, []);
  await waitForTick();
  t.same(closed, Array(4).fill('connections'));
  t.match(lines, [
    {event: 'client-limit', reason: 'connections', count: 4, connections: 1},
    {event: 'client-limit', reason: 'busy', count: 1},
  ]);
  t.equal(lines.length, 2);
  t.same(Object.fromEntries(counts), {client_limit_connections: 4, client_limit_busy: 1});
});

// Such a client would keep its answers, and its connection, for ever.
void t.test('a client that takes no answer is closed, another one is not', async t => {
  const {gate} = createGate(10);
  const closed: string[] = [];
  const idle = gate.open('client', () => closed.push('idle'));
  const sending = gate.open('client', () => closed.push('sending'));
  gate.setPhase(idle, 'idle');
  gate.setPhase(sending, 'sending');
  await waitForTick();
  t.same(closed, ['sending']);
});
