import {connect} from 'node:net';
import type {Hello} from '@chervilbeam/coordination';
import t from 'tap';
import {encodeFrame} from '../../src/framing/index.js';
import {getRendezvousWeight, PeerNetwork} from '../../src/peers/index.js';

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
