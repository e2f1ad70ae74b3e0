import {once} from 'node:events';
import {type AddressInfo, connect, createServer, type Socket} from 'node:net';
import t from 'tap';
import {RoundScheduler} from '../../../src/dispatch/ownership/round-scheduler.js';
import {SystemClock} from '../../../src/loop/index.js';
import {waitUntil} from '../wait-until.js';

/** Time in milliseconds for which the process stands still; longer than any delay between two rounds of the test. */
const pauseMs = 400;
/** Time in milliseconds that a round takes; the next one is delayed by three times as much. */
const roundMs = 40;

/** Stops the thread, as a pause of the process does. */
function standStill(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

// What the owner learned while it was paused, for example of an evacuation, would come after starts that it forbids.
void t.test('a delayed round runs after the messages that arrived in a pause', async t => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [socket] = (await once(server, 'connection')) as [Socket];
  t.teardown(() => {
    client.destroy();
    server.close();
  });
  const order: string[] = [];
  let rounds = 0;
  const scheduler = new RoundScheduler({
    clock: new SystemClock(),
    settle: () => {},
    isRoundDue: scope => scope === 'all' && rounds < 2,
    runRound: () => {
      rounds += 1;
      order.push('round');
      standStill(roundMs);
    },
  });
  scheduler.schedule();
  await waitUntil(() => rounds === 1);
  // The next round follows after a delay, within which the message arrives and the process is paused.
  scheduler.schedule();
  await new Promise(resolve => setImmediate(resolve));
  socket.on('data', () => order.push('message'));
  client.write('message');
  standStill(pauseMs);
  await waitUntil(() => rounds === 2);
  t.same(order, ['round', 'message', 'round']);
});
