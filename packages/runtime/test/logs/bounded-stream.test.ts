import t from 'tap';
import {BoundedStream} from '../../src/logs/bounded-stream.js';

void t.test('a reader that stops costs lines and no time', async t => {
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
  t.equal(lines.length, 3, 'what waits is bounded');
  sink.writableLength = 0;
  stream.write('after\n');
  t.match(lines.at(-2), /"unread":97/, 'what was left out is told');
  t.equal(lines.at(-1), 'after\n');
});
