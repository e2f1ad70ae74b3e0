import {connect} from 'node:net';
import t from 'tap';
import {fetch} from 'undici';
import {
  Announcer,
  BackendServer,
  noFailures,
  EventRecorder,
  StoreServer,
  workerDefaults,
} from '../../src/index.js';
import {applyIntent, DaemonProcess, allocatePorts, waitUntil} from '../../src/process/index.js';

const location = {deployment: 'test', region: 'north', dataCentre: 'north-a'};

const intent = {
  operator: 'Kari Kastanje',
  teams: [{name: 'stalls', quota: {processors: 16000, memoryMb: 60000, slots: 8}, weight: 1}],
  services: [
    {
      name: 'prices',
      team: 'stalls',
      urgency: 'critical',
      grant: {slots: 4},
      resources: {processors: 1000, memoryMb: 512, slots: 1},
      replicas: 1,
    },
  ],
};

void t.test('requests pass through real entry and agent processes to a backend server', async t => {
  const ports = await allocatePorts(4);
  const [callers, peers, entryControl, agentControl] = ports.map(port => `127.0.0.1:${port}`);
  if (!callers || !peers || !entryControl || !agentControl)
    throw new Error('allocatePorts returned fewer than 4 ports');
  const storeServer = new StoreServer();
  const store = await storeServer.listen();
  const entry = new DaemonProcess({
    ...location,
    role: 'entry',
    name: 'entry-1',
    listen: {callers, peers, control: entryControl},
    seeds: [],
    settleMs: 0,
    store,
    cells: ['main'],
  });
  const agent = new DaemonProcess({
    ...location,
    role: 'agent',
    name: 'host-1',
    listen: {control: agentControl},
    seeds: [peers],
  });
  const failures = {...noFailures};
  const settings = {
    ...workerDefaults,
    name: 'host-1',
    rack: 'rack-1',
    services: ['prices'],
    workerListen: '',
    backendListen: '127.0.0.1:0',
    agent: `http://${agentControl}`,
  };
  const backend = new BackendServer(settings, failures, new EventRecorder());
  const port = await backend.start('127.0.0.1:0');
  const announcer = new Announcer(settings, `http://127.0.0.1:${port}`, failures);
  t.teardown(async () => {
    announcer.stop();
    await Promise.all([entry.stop(), agent.stop(), backend.stop()]);
    await storeServer.close();
  });
  const call = (path: string, init: Parameters<typeof fetch>[1] = {}) =>
    fetch(`http://${callers}${path}`, {...init, signal: AbortSignal.timeout(10_000)});
  await entry.waitForPeers(1);
  announcer.start();
  await waitUntil(
    'configuration known',
    async () =>
      (await call('/prices/')).headers.get('chervilbeam-reason') !== 'configuration-unknown',
  );
  const confirmation = await applyIntent(entryControl, intent);
  t.equal(confirmation.outcome, 'accepted');
  await waitUntil('service served', async () => (await call('/prices/')).status === 200);

  await t.test(
    'each caller receives the complete answer to its own request, whether short or longer than a chunk',
    async t => {
      const sizes = [0, 1, 16_384, 16_385, 300_000];
      const answers = sizes.map(async size => {
        const response = await call(`/prices/list?size=${size}`, {
          headers: {'x-request-id': `r${size}`, 'x-answer-bytes': String(size)},
        });
        t.equal(response.headers.get('chervilbeam-outcome'), 'answered');
        return response.text();
      });
      const expected = sizes.map(size => `r${size} GET /list?size=${size} 0\n${'.'.repeat(size)}`);
      t.strictSame(await Promise.all(answers), expected);
    },
  );

  await t.test(
    'a request body longer than one chunk arrives complete, so that no chunk is lost',
    async t => {
      const response = await call('/prices/orders', {
        method: 'POST',
        headers: {'x-request-id': 'long'},
        body: Buffer.alloc(200_000, 'x'),
      });
      t.equal(await response.text(), 'long POST /orders 200000\n');
    },
  );

  await t.test(
    'a request body above the size limit is refused and reported as not run',
    async t => {
      const response = await call('/prices/orders', {
        method: 'POST',
        body: Buffer.alloc(1_048_577),
      });
      t.equal(response.status, 413);
      t.equal(response.headers.get('chervilbeam-outcome'), 'not-run');
    },
  );

  await t.test('a truncated answer is reported as unknown, not passed on as complete', async t => {
    failures.cutAnswers = true;
    const response = await call('/prices/orders', {method: 'POST', body: 'x'});
    failures.cutAnswers = false;
    t.equal(response.status, 502);
    t.equal(response.headers.get('chervilbeam-outcome'), 'unknown');
  });

  await t.test(
    'a peer connection that does not speak the protocol is closed and counted',
    async t => {
      const [host, peerPort] = peers.split(':');
      const socket = connect({host: host ?? '', port: Number(peerPort)});
      const closed = new Promise<void>(resolve => socket.once('close', () => resolve()));
      socket.on('error', () => {});
      socket.write('GET / HTTP/1.1\r\n\r\n');
      await closed;
      const {counters} = (await entry.get('/v1/metrics')) as {counters: Record<string, number>};
      t.equal(counters['refused-stranger'], 1);
    },
  );

  await t.test(
    'a graceful shutdown completes the requests in flight instead of dropping them',
    async t => {
      const answer = call('/prices/slow', {headers: {'x-request-id': 's', 'x-service-ms': '400'}});
      await waitUntil('exchange open', () => backend.openExchangeCount === 1);
      const stopped = entry.stop();
      t.equal(await (await answer).text(), 's GET /slow 0\n');
      t.equal(await stopped, 0);
    },
  );
});
