import t from 'tap';
import type {Hello} from '../../src/messages/control.js';
import {EntryProcess, type EntryProcessEvent} from '../../src/entry/index.js';

const hello: Hello = {
  kind: 'hello',
  protocol: 1,
  deployment: 'test',
  role: 'entry',
  dataCentre: 'south-1',
  region: 'south',
  name: 'entry-2',
  incarnation: 2,
  purpose: 'control',
  peers: [],
  configVersion: 1,
};
const peer = 'entry-2';
const workload = {
  kind: 'service',
  name: 'prices',
  team: 'stalls',
  urgency: 'critical',
  grant: {slots: 4, processors: 0},
  resources: {processors: 100, memoryMb: 100, accelerators: 0, slots: 1},
  tasks: 1,
} as const;
const change = {
  version: 1,
  changeId: 'c1',
  author: 'Kari',
  operations: [{kind: 'put-workload', workload}],
} as const;
const receive = (message: Extract<EntryProcessEvent, {kind: 'message'}>['message']) =>
  ({kind: 'message', peer, channel: 'control', message}) as const;
const summary = receive({
  kind: 'summary',
  dataCentre: 'south-1',
  services: [{service: 'prices', hosts: 1, slots: 8}],
});
const up = {kind: 'peer-up', peer, hello} as const;

const eventSequences: ReadonlyArray<{name: string; events: readonly EntryProcessEvent[]}> = [
  {name: 'summary after the data connection', events: [up, summary]},
  {name: 'summary before the data connection', events: [summary, up]},
];

void t.test(
  'requests are forwarded whether the summary arrives before or after the data connection opens',
  async t => {
    for (const {name, events} of eventSequences) {
      const process = new EntryProcess({
        name: 'entry-1',
        dataCentre: 'north-1',
        region: 'north',
        incarnation: 1,
        startedAt: 0,
        seed: 1,
        cells: [],
        settleMs: 0,
      });
      process.reduce({kind: 'control-up', peer, hello}, 0);
      process.reduce(receive({kind: 'config', from: 0, changes: [change]}), 1);
      t.equal(process.view.configuration.version, 1);
      for (const event of events) process.reduce(event, 2);
      const effects = process.reduce(
        {
          kind: 'caller-request',
          caller: 1,
          service: 'prices',
          method: 'GET',
          path: '/',
          headers: [],
          body: new Uint8Array(),
          timeoutMs: 1000,
        },
        3,
      );
      const sent = effects.find(effect => effect.kind === 'send');
      t.match(sent, {peer, channel: 'data', message: {kind: 'forward', service: 'prices'}}, name);
    }
  },
);
