import t from 'tap';
import {BoundedStream} from '../../src/logs/bounded-stream.js';

void t.test(
  'a stalled reader causes dropped lines, so that it cannot block the process',
  async t => {
    const lines: string[] = [];
    const sink = {
      writableLength: 0,
      write(line: string) {
        lines.push(line);
        this.writableLength += line.length;
        return this.writableLength < 10;
      },
    };
    const stream = new BoundedStream(sink, 20);
    for (let index = 0; index < 100; index += 1) stream.write(`line ${index}\n`);
    t.equal(lines.length, 3, 'the buffer is bounded');
    sink.writableLength = 0;
    stream.write('after\n');
    t.match(lines.at(-2), /"unread":97/, 'the number of dropped lines is written');
    t.equal(lines.at(-1), 'after\n');
  },
);
