import {SeededRandom} from '@chervilbeam/coordination';
import t from 'tap';
import {ByteCollector} from '../../src/buffers/byte-collector.js';

const seed = 7;

// Blocks are used again, so that bytes of one message could turn up in another.
void t.test('parts of all sizes come back in order, also from collectors side by side', async t => {
  const random = new SeededRandom(seed);
  for (let round = 0; round < 20; round += 1) {
    const collectors = [new ByteCollector(), new ByteCollector()];
    const expected = collectors.map(() => [] as Buffer[]);
    for (let part = 0; part < 30; part += 1) {
      const index = Math.floor(random.between(0, 2));
      const bytes = Buffer.alloc(Math.floor(random.between(0, 40_000)), part + round);
      collectors[index]?.add(bytes);
      expected[index]?.push(bytes);
    }
    collectors.forEach((collector, index) => {
      t.ok(collector.take().equals(Buffer.concat(expected[index] ?? [])));
      t.equal(collector.heldBytes, 0);
    });
  }
});
