import t from 'tap';
import {LoadTracker} from '../../../src/dispatch/policy/load-tracker.js';

const getLoad = (at: number) => 0.45 * (1 + 0.5 * Math.sin((2 * Math.PI * at) / 14_000));

void t.test('a load that swings is followed from noisy measurements', async t => {
  const tracker = new LoadTracker(getLoad(0), 0.03, 0);
  let worst = 0;
  for (let at = 500; at < 40_000; at += 500) {
    tracker.update(getLoad(at) * (at % 1_000 === 0 ? 1.05 : 0.95), 0.03, at);
    if (at > 5_000) worst = Math.max(worst, Math.abs(tracker.estimate(at).load - getLoad(at)));
  }
  t.ok(worst < 0.1, `worst error ${worst}`);
});

void t.test('a measurement that is in doubt moves the estimate little', async t => {
  const tracker = new LoadTracker(0.3, 0.02, 0);
  tracker.update(0.9, 0.5, 500);
  t.ok(tracker.estimate(500).load < 0.35);
});

void t.test('doubt grows without measurements', async t => {
  const tracker = new LoadTracker(0.3, 0.02, 0);
  t.ok(tracker.estimate(3_000).deviation > tracker.estimate(100).deviation);
});
