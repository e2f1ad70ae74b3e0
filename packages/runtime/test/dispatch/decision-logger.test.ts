import t from 'tap';
import {createTestLog} from './test-log.js';

void t.test(
  'a burst of one event is rate-limited and counted without suppressing other events',
  async t => {
    const {log, lines} = createTestLog();
    for (let index = 0; index < 500; index += 1) log.log('submission-refused', {submission: index});
    log.log('ownership-begun', {term: 3});
    const refused = lines.filter(line => line.event === 'submission-refused');
    t.equal(refused.length, 60);
    t.match(lines.at(-1), {event: 'ownership-begun', term: 3});
    log.close();
    t.match(lines.at(-1), {event: 'lines-omitted', omitted: {'submission-refused': 440}});
  },
);
