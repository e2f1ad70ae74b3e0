import t from 'tap';
import {LoadForecasts} from '../../../src/dispatch/interference/load-forecasts.js';

const step = 'step';

function getLoad(at: number, periodMs = 14_000, phase = 0): number {
  return 0.45 * (1 + 0.5 * Math.sin((2 * Math.PI * at) / periodMs + phase));
}

/** Feeds a load every 500 ms until `untilMs`, with an error of alternately +5 % and -5 %. */
function measure(
  forecasts: LoadForecasts,
  untilMs: number,
  getValue: (at: number) => number,
  key = step,
): void {
  for (let at = 0; at < untilMs; at += 500) {
    forecasts.update(key, getValue(at) * (at % 1_000 === 0 ? 1.05 : 0.95), 0.03, at);
    forecasts.estimate(key, at);
  }
}

void t.test('the estimate follows a periodic load despite noisy measurements', async t => {
  const forecasts = new LoadForecasts();
  let worst = 0;
  for (let at = 0; at < 40_000; at += 500) {
    forecasts.update(step, getLoad(at) * (at % 1_000 === 0 ? 1.05 : 0.95), 0.03, at);
    const error = Math.abs(forecasts.estimate(step, at).load - getLoad(at));
    if (at > 5_000) worst = Math.max(worst, error);
  }
  t.ok(worst < 0.1, `worst error ${worst}`);
});

for (const periodMs of [8_000, 14_000, 20_000, 33_000]) {
  void t.test(`a cycle of ${periodMs} ms is learned after two periods`, async t => {
    const forecasts = new LoadForecasts();
    const learningMs = 2 * periodMs;
    measure(forecasts, learningMs, at => getLoad(at, periodMs));
    let worst = 0;
    for (let ahead = 0; ahead <= 4_000; ahead += 500) {
      const {load} = forecasts.estimate(step, learningMs + ahead);
      worst = Math.max(worst, Math.abs(load - getLoad(learningMs + ahead, periodMs)));
    }
    t.ok(worst < 0.1, `worst error ${worst} in a forecast of 4 s`);
  });
}

void t.test(
  'a new step uses the period learned from other steps, so that its first cycle is forecast',
  async t => {
    const forecasts = new LoadForecasts();
    measure(forecasts, 40_000, at => getLoad(at));
    measure(forecasts, 40_000, at => getLoad(at, 14_000, 2), 'other');
    for (let at = 40_000; at < 46_000; at += 500) {
      forecasts.update('new', getLoad(at, 14_000, 4), 0.03, at);
    }
    const error = forecasts.estimate('new', 49_000).load - getLoad(49_000, 14_000, 4);
    t.ok(Math.abs(error) < 0.1, `error ${error} from less than half a cycle`);
  },
);

void t.test('the estimate follows a step change of a load without a cycle', async t => {
  const forecasts = new LoadForecasts();
  measure(forecasts, 30_000, at => (at < 25_000 ? 0.2 : 0.6));
  const {load} = forecasts.estimate(step, 30_000);
  t.ok(Math.abs(load - 0.6) < 0.15, `load ${load}`);
});

void t.test(
  'a measurement with a large standard deviation hardly changes the estimate',
  async t => {
    const forecasts = new LoadForecasts();
    forecasts.update(step, 0.3, 0.02, 0);
    const before = forecasts.estimate(step, 500).load;
    forecasts.update(step, 0.9, 0.5, 500);
    t.ok(Math.abs(forecasts.estimate(step, 500).load - before) < 0.05);
  },
);

void t.test(
  'the standard deviation grows without measurements, so that an old estimate is not trusted',
  async t => {
    const forecasts = new LoadForecasts();
    measure(forecasts, 10_000, getLoad);
    t.ok(forecasts.estimate(step, 13_000).deviation > forecasts.estimate(step, 10_100).deviation);
  },
);

void t.test('bursts of requests do not distort the learned cycle', async t => {
  const forecasts = new LoadForecasts();
  measure(forecasts, 40_000, at => (at % 7_000 === 0 ? 0.95 : getLoad(at)));
  const {load} = forecasts.estimate(step, 42_000);
  t.ok(Math.abs(load - getLoad(42_000)) < 0.1, `load ${load}`);
});

void t.test('the highest forecast load matches the peak of the cycle', async t => {
  const forecasts = new LoadForecasts();
  measure(forecasts, 42_000, at => getLoad(at));
  const highest = forecasts.getHighest(step, 42_000, 5_000);
  t.ok(Math.abs(highest - 0.675) < 0.07, `highest ${highest}`);
});

void t.test(
  'steps that have ended are forgotten, so that memory does not grow with each submission',
  async t => {
    const forecasts = new LoadForecasts();
    measure(forecasts, 2_000, getLoad);
    forecasts.retain(() => false);
    t.notOk(forecasts.has(step));
  },
);
