import type {DataMessage} from '@chervilbeam/coordination';
import t from 'tap';
import {decodeFrame, maxChunkBytes} from '../../src/framing/index.js';
import {ChunkQueue} from '../../src/peers/chunk-queue.js';

const origin = 3;
const reply = (sequence: number, bodyLength: number): DataMessage => ({
  kind: 'reply',
  id: {origin, sequence},
  attempt: 1,
  status: 200,
  headers: [],
  bodyLength,
  credit: 0,
});

void t.test(
  'bodies are sent round-robin, so that a long one does not delay a short one',
  async t => {
    const queue = new ChunkQueue(origin);
    queue.add(reply(1, maxChunkBytes * 4), Buffer.alloc(maxChunkBytes * 4), 0);
    queue.add(reply(2, 10), Buffer.alloc(10), 0);
    queue.add(reply(3, maxChunkBytes * 2), Buffer.alloc(maxChunkBytes * 2), 0);
    queue.remove(reply(3, 0));
    const order: number[] = [];
    for (let frame = queue.takeFrame(); frame !== undefined; frame = queue.takeFrame()) {
      const decoded = decodeFrame(frame.subarray(4), origin);
      if ('message' in decoded && decoded.message.kind === 'chunk') {
        order.push(decoded.message.id.sequence);
      }
    }
    t.strictSame(order, [1, 2, 1, 1, 1]);
    t.ok(queue.isEmpty);
  },
);
