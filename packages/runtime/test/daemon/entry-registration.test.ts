import type {RegisteredEntry} from '@chervilbeam/coordination';
import t from 'tap';
import {EntryRegistration} from '../../src/daemon/entry-registration.js';
import type {StoreClient} from '../../src/store/index.js';

const own: RegisteredEntry = {name: 'a', dataCentre: 'dc', incarnation: 1, address: '10.0.0.1:1'};
const other: RegisteredEntry = {name: 'b', dataCentre: 'dc', incarnation: 2, address: '10.0.0.2:1'};

const cases: ReadonlyArray<{readonly name: string; readonly item: unknown}> = [
  {name: 'null', item: null},
  {name: 'a text', item: 'entry'},
  {name: 'an entry without a name', item: {...other, name: undefined}},
  {name: 'an entry without a data centre', item: {...other, dataCentre: 7}},
  {name: 'an incarnation that is too large', item: {...other, incarnation: 1e300}},
  {name: 'a port out of range', item: {...other, address: '10.0.0.2:99999'}},
  {name: 'a nested address', item: {...other, address: [['10.0.0.2:1']]}},
];

for (const {name, item} of cases) {
  void t.test(`an odd item of the list of entries does not hide the others: ${name}`, async t => {
    const client = {
      read: async () => ({result: 'ok', value: [item, own, other], revision: 3}),
    } as unknown as StoreClient;
    const entries = await new Promise<readonly RegisteredEntry[]>(resolve => {
      const registration = new EntryRegistration(client, own, resolve);
      t.teardown(() => registration.stop());
      registration.start();
    });
    t.same(entries, [own, other]);
  });
}
