import t from 'tap';
import {getRequestKey, parseRequestKey} from '../../src/messages/identity.js';

const cases = [
  {name: 'differs by origin', a: {origin: 1, sequence: 12}, b: {origin: 11, sequence: 2}},
  {name: 'differs by sequence', a: {origin: 1, sequence: 1}, b: {origin: 1, sequence: 2}},
];

void t.test('request keys are unique, so that a response cannot reach another caller', async t => {
  for (const testCase of cases) {
    t.same(parseRequestKey(getRequestKey(testCase.a)), testCase.a, `${testCase.name}: parsed back`);
    t.not(getRequestKey(testCase.a), getRequestKey(testCase.b), testCase.name);
  }
});
