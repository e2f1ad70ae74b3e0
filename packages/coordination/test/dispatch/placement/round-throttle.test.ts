import t from 'tap';
import {RoundThrottle} from '../../../src/dispatch/placement/round-throttle.js';

/** Plays events that each ask for a round; returns the number of rounds and the longest wait of an event. */
function play(roundMs: number, eventIntervalMs: number, durationMs: number) {
  const throttle = new RoundThrottle();
  let rounds = 0;
  let longestWaitMs = 0;
  let freeAt = 0;
  for (let eventAt = 0; eventAt < durationMs; eventAt += eventIntervalMs) {
    // An event that arrives while a later round is already due is served by that round.
    if (eventAt < freeAt - roundMs) continue;
    const earliest = Math.max(eventAt, freeAt);
    const startedAt = earliest + throttle.getDelayMs(earliest);
    longestWaitMs = Math.max(longestWaitMs, startedAt - eventAt);
    freeAt = startedAt + roundMs;
    throttle.recordRound(startedAt, freeAt);
    rounds += 1;
  }
  return {share: (rounds * roundMs) / durationMs, longestWaitMs};
}

const cases = [
  {name: 'cheap rounds', roundMs: 0.2, eventIntervalMs: 1, maxWaitMs: 1},
  {name: 'rounds of a few milliseconds', roundMs: 4, eventIntervalMs: 1, maxWaitMs: 20},
  {name: 'rounds on a slow host', roundMs: 40, eventIntervalMs: 1, maxWaitMs: 200},
];
for (const {name, roundMs, eventIntervalMs, maxWaitMs} of cases) {
  void t.test(`${name} take at most a quarter of the time`, t => {
    const {share, longestWaitMs} = play(roundMs, eventIntervalMs, 10_000);
    t.ok(share <= 0.26, `share ${share}`);
    t.ok(longestWaitMs <= maxWaitMs, `waited ${longestWaitMs} ms`);
    t.end();
  });
}

void t.test('the first event after an idle time starts a round at once', t => {
  const throttle = new RoundThrottle();
  t.equal(throttle.getDelayMs(0), 0);
  throttle.recordRound(0, 10);
  t.equal(throttle.getDelayMs(10), 30);
  t.equal(throttle.getDelayMs(1_000), 0);
  t.end();
});

void t.test('a round that was interrupted for long does not postpone the next one further', t => {
  const throttle = new RoundThrottle();
  throttle.recordRound(0, 8_000);
  t.equal(throttle.getDelayMs(8_000), 250);
  t.end();
});
