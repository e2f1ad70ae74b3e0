import t from 'tap';
import {FrameDecoder} from '../../src/framing/frame-decoder.js';
import type {FrameError} from '../../src/framing/frame-error.js';
import {encodeFrame} from '../../src/framing/message-codec.js';

void t.test(
  'frames are decoded wherever TCP splits the stream, so that no message is lost',
  async t => {
    const payloads = ['a', 'bcd', 'efghij'];
    const bytes = Buffer.concat(
      payloads.flatMap(text => [Buffer.from([0, 0, 0, text.length]), Buffer.from(text)]),
    );
    for (let size = 1; size <= bytes.length; size++) {
      const decoder = new FrameDecoder();
      const seen: string[] = [];
      for (let at = 0; at < bytes.length; at += size) {
        decoder.push(bytes.subarray(at, at + size), frame => seen.push(frame.toString()));
      }
      t.strictSame(seen, payloads, `parts of ${size} bytes`);
    }
  },
);

const badPrefixes = [
  {name: 'empty frame', prefix: [0, 0, 0, 0]},
  {name: 'frame above the limit', prefix: [0, 1, 0, 1]},
  {name: "an HTTP request line instead of a frame's length", prefix: [...Buffer.from('GET ')]},
];
for (const {name, prefix} of badPrefixes) {
  void t.test(`${name} is refused before its payload arrives`, async t => {
    const decoder = new FrameDecoder();
    t.equal(
      getReason(() => decoder.push(Buffer.from(prefix), () => {})),
      'frame-length',
    );
  });
}

void t.test(
  'a message of several frames is reassembled, so that a long configuration can be sent',
  async t => {
    const snapshot = 'x'.repeat(200_000);
    const frames = encodeFrame({kind: 'config', from: 0, changes: [], snapshot}, 1);
    const sizes: number[] = [];
    new FrameDecoder().push(frames, payload => sizes.push(payload.length));
    t.equal(sizes.length, 1);
    t.ok((sizes[0] ?? 0) > 200_000);
  },
);

void t.test(
  'a message with endless continuation frames is refused, so that a peer cannot exhaust memory',
  async t => {
    const part = Buffer.alloc(4 + 65_536);
    part.writeUInt32BE(0x80000000 + 65_536, 0);
    const decoder = new FrameDecoder();
    const pushContinuations = () => {
      for (let i = 0; i < 100; i++) decoder.push(part, () => {});
    };
    t.equal(getReason(pushContinuations), 'message-length');
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
