import {StoreClient} from '@chervilbeam/runtime';
import t, {type Test} from 'tap';
import {StoreServer} from '../../src/store/store-server.js';

async function start(t: Test): Promise<{server: StoreServer; client: StoreClient; url: string}> {
  const server = new StoreServer({latencyMs: 0});
  const url = await server.listen();
  const client = new StoreClient({url, timeoutMs: 300});
  t.teardown(async () => {
    await client.close();
    await server.close();
  });
  return {server, client, url};
}

void t.test('exactly one of two concurrent compare-and-swap writes succeeds', async t => {
  const {client} = await start(t);
  t.same(await client.read('config/head'), {result: 'ok', revision: 0, value: undefined});
  const answers = await Promise.all([
    client.write('config/head', {by: 'a'}, 0),
    client.write('config/head', {by: 'b'}, 0),
  ]);
  t.same(answers.map(answer => answer.result).sort(), ['mismatch', 'ok']);
  t.match(await client.read('config/head'), {result: 'ok', value: {by: /[ab]/}});
});

void t.test('a write whose answer is lost has an unknown result, but takes effect', async t => {
  const {client, server} = await start(t);
  server.setFaults({loseAnswers: 1});
  t.same(await client.write('k', 1, 0), {result: 'unknown'});
  t.match(await client.read('k'), {result: 'ok', value: 1});
});

void t.test(
  'a refused write is reported as without effect, and a write that hangs as unknown',
  async t => {
    const {client, server} = await start(t);
    server.setFaults({outage: 'refuse'});
    t.same(await client.write('k', 1, 0), {result: 'unavailable'});
    server.setFaults({outage: 'hang'});
    t.same(await client.write('k', 1, 0), {result: 'unknown'});
    server.setFaults({outage: 'none'});
    t.same(await client.read('k'), {result: 'ok', revision: 0, value: undefined});
  },
);

void t.test(
  'a watch ends at a change, at its timeout and at an outage, so that no caller waits forever',
  async t => {
    const {client, server} = await start(t);
    const changed = client.watch('k', 0, 5000);
    await client.write('k', {a: 1}, 0);
    t.match(await changed, {result: 'ok', value: {a: 1}});
    const {revision} = (await client.read('k')) as {revision: number};
    t.same(await client.watch('k', revision, 10), {result: 'quiet'});
    const cut = client.watch('k', revision, 5000);
    await client.read('k');
    server.setFaults({outage: 'refuse'});
    t.same(await cut, {result: 'unavailable'});
  },
);

void t.test(
  'closing a lease removes its keys, so that a previous owner is no longer recorded',
  async t => {
    const {client} = await start(t);
    const opened = await client.openLease(60_000);
    if (opened.result !== 'ok') return t.fail(opened.result);
    t.match(await client.write('cell/main/owner', 'a', 0, opened.lease), {result: 'ok'});
    t.match(await client.renewLease(opened.lease), {result: 'ok'});
    t.match(await client.closeLease(opened.lease), {result: 'ok'});
    t.match(await client.read('cell/main/owner'), {revision: 0, value: undefined});
    t.match(await client.renewLease(opened.lease), {result: 'mismatch'});
    t.match(await client.write('cell/main/owner', 'a', 0, opened.lease), {result: 'mismatch'});
  },
);

void t.test('calls above the value size and rate limits are refused', async t => {
  const {client, server, url} = await start(t);
  t.match(await client.write('k', 'x'.repeat(1_000_001), 0), {result: 'unavailable'});
  server.setFaults({readsPerSecond: 0});
  t.same(await client.read('k'), {result: 'limited'});
  const control = await fetch(`${url}/v1/control`, {method: 'POST', body: '{"outage":"off"}'});
  t.equal(control.status, 400, 'an invalid outage value is reported as a finding');
  t.match(await control.json(), {findings: [{place: 'outage', value: '"off"'}]});
});
