import {once} from 'node:events';
import {type AddressInfo, connect, createServer, type Server} from 'node:net';
import type {Hello} from '@chervilbeam/coordination';
import t from 'tap';
import {encodeFrame} from '../../src/framing/index.js';
import {getRendezvousWeight, PeerNetwork} from '../../src/peers/index.js';
import {oddAddresses} from '../dispatch/odd-addresses.js';

const hello: Hello = {
  kind: 'hello',
  protocol: 1,
  deployment: 'test',
  role: 'agent',
  dataCentre: 'a',
  region: 'r',
  name: 'host-1',
  incarnation: 5,
  purpose: 'control',
  peers: [],
  configVersion: 0,
};

const handshakes = [
  {name: 'another protocol', hello: {...hello, protocol: 2}, refused: ['other-protocol']},
  {name: 'another deployment', hello: {...hello, deployment: 'x'}, refused: ['other-deployment']},
  {
    name: 'a message before the hello',
    hello: {kind: 'fence', cell: 'c', term: 1},
    refused: ['stranger'],
  },
] as const;

void t.test(
  'connections with an invalid handshake are closed and counted, so that foreign processes stay out',
  async t => {
    for (const {name, hello: first, refused} of handshakes) {
      const refusals: string[] = [];
      const connectedPeers: string[] = [];
      const ownHello: Hello = {...hello, role: 'entry', name: 'entry-1'};
      const address = `127.0.0.1:${20_000 + Math.floor(process.pid % 20_000)}`;
      const network = new PeerNetwork(
        {hello: () => ownHello, listen: address, seeds: []},
        {
          controlUp: peer => connectedPeers.push(peer),
          controlDown: () => {},
          peerUp: peer => connectedPeers.push(peer),
          peerDown: () => {},
          message: () => {},
          refused: reason => refusals.push(reason),
        },
      );
      await network.start();
      const [host, port] = address.split(':');
      const socket = connect({host: host ?? '', port: Number(port)});
      socket.on('error', () => {});
      const closed = new Promise<void>(resolve => socket.once('close', () => resolve()));
      socket.write(encodeFrame(first as Hello, 5));
      await closed;
      await network.stop();
      t.strictSame(refusals, refused, name);
      t.strictSame(connectedPeers, [], name);
    }
  },
);

void t.test(
  'rendezvous hashing spreads agents evenly, so that no entry gets most of them',
  async t => {
    const addresses = Array.from({length: 8}, (_, i) => `10.0.0.${i}:7000`);
    const counts = new Map<string, number>();
    for (let i = 0; i < 800; i++) {
      const weigh = (address: string) => getRendezvousWeight(`host-${i}`, address);
      const best = addresses.reduce((a, b) => (weigh(a) >= weigh(b) ? a : b));
      counts.set(best, (counts.get(best) ?? 0) + 1);
    }
    for (const address of addresses) {
      const count = counts.get(address) ?? 0;
      t.ok(count > 50 && count < 200, `${address}: ${count}`);
    }
  },
);

async function startServer(): Promise<{readonly server: Server; readonly address: string}> {
  const server = createServer(socket => socket.on('error', () => {}).resume());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
}

const oddPeers: readonly unknown[] = [...oddAddresses, 7, null, {}, []];
for (const odd of oddPeers) {
  void t.test(
    `an entry that names ${JSON.stringify(odd).slice(0, 20)} keeps no other entry away`,
    async t => {
      const [first, second] = [await startServer(), await startServer()];
      first.server.on('connection', socket => {
        const peers = [first.address, odd, second.address] as string[];
        socket.write(encodeFrame({...hello, role: 'entry', name: 'entry-1', peers}, 5));
        socket.on('error', () => {});
      });
      const seeds = typeof odd === 'string' ? [odd, first.address] : [first.address];
      const network = new PeerNetwork(
        {hello: () => hello, seeds},
        {
          controlUp: () => {},
          controlDown: () => {},
          peerUp: () => {},
          peerDown: () => {},
          message: () => {},
          refused: () => {},
        },
      );
      t.teardown(async () => {
        await network.stop();
        for (const {server} of [first, second]) server.close();
      });
      const dialled = once(second.server, 'connection');
      await network.start();
      await dialled;
      t.same(network.getKnownAddresses(), [first.address, second.address]);
    },
  );
}
