// Open channels of the owner go silent, and a submission is cancelled. How long do its tasks go on to be started?
import {join} from 'node:path';
import {Proxy} from '../standins-3/proxy.mjs';
import {delay, runCase, waitFor} from '../standins-3/world.mjs';

const prefix = '/proof/';
const id = '13aa22bb33cc44dd';
/** Bounds of sites/legoff-registres.toml in milliseconds. */
const cancelMs = 3_000;
const contactTimeoutMs = 4_000;
const tasks = 240;

await runCase(join(import.meta.dirname, 'record.txt'), async (world, hasTrouble) => {
  const storeProxies = new Map();
  const peerProxies = new Map();
  const hosts = Array.from({length: 4}, (_, index) => ({labels: ['a', `r1-${index}`], cores: 2}));
  await world.start({
    entries: 2,
    hosts,
    routes: [{name: 'proof', prefix}],
    getStore: async name => {
      if (!name.startsWith('entry')) return undefined;
      const proxy = new Proxy(world.storeAddress);
      const address = `127.0.3.${name.slice(-1)}:${world.ports.store}`;
      await proxy.start(address);
      storeProxies.set(name, proxy);
      return address;
    },
    getPeerSettings: async (name, ip, peer) => {
      const listen = `127.0.4.${name.slice(-1)}:${peer}`;
      const proxy = new Proxy(listen);
      await proxy.start(`${ip}:${peer}`);
      peerProxies.set(name, proxy);
      return {peerListen: listen};
    },
  });
  await world.waitUntilReady();
  await delay(1_500);
  const {owner} = world;
  const other = world.entries.find(entry => entry !== owner);
  const getStarts = () =>
    world.events.filter(({event, task}) => event === 'start' && task.startsWith(id));
  const body = {
    spec: JSON.stringify({work: [{cpu: 1_000, ms: 400}]}),
    steps: [{count: tasks, cpu: 1_000, memory_request_mb: 64, estimated_ms: 400}],
  };
  const {status} = await world.call(other, 'POST', prefix, id, body);
  if (status !== 200) throw new Error(`not accepted: ${status}`);
  await waitFor('a start', () => getStarts().length > 0);
  const silentAt = Date.now();
  if (hasTrouble) {
    const watches = storeProxies
      .get(owner.name)
      .silence(({latest}) => latest.includes('/kv-watch'));
    const links = peerProxies.get(owner.name).silence(({first}) => first.includes(other.name));
    world.note({event: 'silenced', watches, links});
  }
  await delay(100);
  await waitFor('the cancel', async () => {
    const answer = await world.call(other, 'DELETE', prefix, id);
    return answer.status === 200;
  });
  const cancelledAt = Date.now();
  await delay(9_000);
  // The channels count as reset, so that no machine is in touch before `contactTimeoutMs` have passed.
  const judgedFrom = Math.max(cancelledAt + cancelMs, hasTrouble ? silentAt + contactTimeoutMs : 0);
  const late = getStarts().filter(({t}) => t > judgedFrom);
  world.note({
    event: 'check',
    cancelAckMs: cancelledAt - silentAt,
    starts: getStarts().length,
    lateStarts: late.length,
    latestAfterAckMs: Math.max(0, ...getStarts().map(({t}) => t - cancelledAt)),
  });
  for (const proxy of [...storeProxies.values(), ...peerProxies.values()]) proxy.stop();
  return late.length > 0;
});
