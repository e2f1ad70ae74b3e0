import type {DataMessage} from '@chervilbeam/coordination';
import {encode} from 'cbor-x';
import t from 'tap';
import {BodyAssembler} from '../../src/framing/body-assembler.js';
import {
  decodeFrame,
  encodeClock,
  encodeFrame,
  type FrameError,
  type PeerMessage,
} from '../../src/framing/index.js';

const origin = 77;
const id = {origin, sequence: 12};
const dispatch = {
  kind: 'dispatch',
  id,
  attempt: 1,
  service: 'prices',
  class: {team: 'stalls', kind: 'service', urgency: 'critical'},
  idempotent: true,
  remainingMs: 900,
  method: 'GET',
  path: '/list?x=1',
  headers: [['accept', 'text/plain']],
  bodyLength: 0,
} as const;
const messages: readonly PeerMessage[] = [
  dispatch,
  {...dispatch, kind: 'forward', id: {origin: 5, sequence: 1}, method: 'PURGE', idempotent: false},
  {...dispatch, class: {team: '', kind: 'watch', urgency: 'background'}, attempt: 3},
  {kind: 'reply', id, attempt: 2, status: 404, headers: [['a', 'b']], bodyLength: 9, credit: 2.5},
  {kind: 'reply', id, attempt: 1, status: 200, headers: [], bodyLength: 0, credit: 0},
  {kind: 'chunk', id, attempt: 1, offset: 16384, bytes: Buffer.from('abc')},
  {kind: 'rejected', id, attempt: 1, reason: 'busy', holdMs: 5, credit: 0},
  {kind: 'recovered', id, attempt: 1, state: 'absent'},
  {kind: 'heartbeat', stamp: 1234.5, configVersion: 3, inFlight: 1},
];

void t.test(
  'a decoded message equals the encoded one, so that no field is lost or swapped',
  async t => {
    for (const message of messages) {
      const decoded = decodeFrame(encodeFrame(message, origin).subarray(4), origin);
      t.strictSame('message' in decoded && decoded.message, message, message.kind);
    }
  },
);

void t.test(
  'the framing of a dispatch adds at most 64 bytes, so that small requests stay cheap',
  async t => {
    const payload = 'prices' + 'stalls' + '/list?x=1' + 'accept' + 'text/plain';
    for (const message of [dispatch, {...dispatch, id: {origin: 2 ** 47, sequence: 2 ** 31}}]) {
      const frames = encodeFrame(message, origin).length + encodeClock(2 ** 50).length;
      const extra = frames - payload.length;
      t.ok(extra <= 64, `${extra} bytes`);
    }
  },
);

const refused = [
  {name: 'a payload that is not CBOR', value: Buffer.from([0xff, 0x01]), reason: 'not-cbor'},
  {name: 'an unknown kind', value: encode({kind: 'gossip'}), reason: 'unknown-kind'},
  {name: 'an unknown compact kind', value: encode(new Map([[1, 99]])), reason: 'unknown-kind'},
  {name: 'a missing field', value: encode({kind: 'cancel', attempt: 1}), reason: 'bad-field'},
  {name: 'a scalar', value: encode(5), reason: 'not-a-record'},
];
for (const {name, value, reason} of refused) {
  void t.test(`${name} is refused, so that it reaches no reducer`, async t => {
    t.equal(
      getReason(() => decodeFrame(value, 1)),
      reason,
    );
  });
}

void t.test(
  'chunks are reassembled by request and attempt, so that interleaved bodies do not mix',
  async t => {
    const delivered: string[] = [];
    const assembler = new BodyAssembler((message, body) =>
      delivered.push(`${message.id.sequence}/${message.attempt}:${Buffer.from(body ?? [])}`),
    );
    const reply = (sequence: number, attempt: number): DataMessage => ({
      kind: 'reply',
      id: {origin, sequence},
      attempt,
      status: 200,
      headers: [],
      bodyLength: 4,
      credit: 0,
    });
    const chunk = (
      sequence: number,
      attempt: number,
      offset: number,
      text: string,
    ): DataMessage => ({
      kind: 'chunk',
      id: {origin, sequence},
      attempt,
      offset,
      bytes: Buffer.from(text),
    });
    assembler.push(reply(1, 1), Buffer.from('ab'));
    assembler.push(reply(2, 1), Buffer.from('xy'));
    assembler.push(reply(2, 2), Buffer.from('uv'));
    assembler.push(chunk(2, 1, 2, 'zz'));
    assembler.push(chunk(1, 1, 2, 'cd'));
    // Attempt 2 fails while one of its chunks is still in flight; the late chunk must be ignored.
    assembler.push({kind: 'failed', id: {origin, sequence: 2}, attempt: 2, detail: '', credit: 0});
    assembler.push(chunk(2, 2, 2, 'ww'));
    t.strictSame(delivered, ['2/1:xyzz', '1/1:abcd', '2/2:']);

    assembler.push(reply(3, 1), Buffer.from('ab'));
    const gap = () => assembler.push(chunk(3, 1, 3, 'd'));
    t.equal(getReason(gap), 'chunk-order', 'a gap is refused');
    const long = {...reply(4, 1), bodyLength: 2 ** 23} as DataMessage;
    t.equal(
      getReason(() => assembler.push(long)),
      'body-length',
      'a long body is refused',
    );
  },
);

function getReason(action: () => void): string | undefined {
  try {
    action();
  } catch (error) {
    return (error as FrameError).reason;
  }
  return undefined;
}
