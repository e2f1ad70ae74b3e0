import t from 'tap';
import {EndCursor} from '../../src/dispatch/end-cursor.js';

void t.test('an end is acknowledged only when it and all earlier ends are stored', async t => {
  const cursor = new EndCursor();
  t.equal(cursor.value, 0);
  for (const end of [3, 4, 5]) t.ok(cursor.add(end));
  t.equal(
    cursor.value,
    2,
    'ends before the first listed one were acknowledged by a previous owner',
  );
  cursor.store(4);
  t.equal(cursor.value, 2);
  cursor.store(3);
  t.equal(cursor.value, 4);
  t.notOk(cursor.add(4), 'an end that is listed again is ignored');
  cursor.store(5);
  t.equal(cursor.value, 5);
});
