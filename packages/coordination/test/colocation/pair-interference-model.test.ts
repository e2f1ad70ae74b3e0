import t from 'tap';
import {PairInterferenceModel} from '../../src/colocation/pair-interference-model.js';

void t.test('a pair that was never measured is assumed to interfere', async t => {
  const model = new PairInterferenceModel();
  t.ok(model.getUpperEstimate('prices', 'proof', 0) > Math.log(1.2));
  t.notOk(model.isKnown('prices', 'proof', 0));
});

void t.test('the slowdown is attributed to the one of two workloads that causes it', async t => {
  const model = new PairInterferenceModel();
  const both = new Map([
    ['proof', 1],
    ['print', 1],
  ]);
  for (let report = 0; report < 20; report += 1) {
    model.observe('prices', both, 1.5, report * 5_000);
    model.observe('prices', new Map([['print', 1]]), 1, report * 5_000);
  }
  t.ok(model.getMean('prices', 'proof', 100_000) > 0.3, 'the interfering pair gets the slowdown');
  t.ok(model.getMean('prices', 'print', 100_000) < 0.1, 'the harmless pair does not');
});

void t.test(
  'estimates decay, so that a pair without recent measurements is unknown again',
  async t => {
    const model = new PairInterferenceModel();
    for (let report = 0; report < 20; report += 1) {
      model.observe('prices', new Map([['proof', 1]]), 1.5, report * 5_000);
    }
    t.ok(model.isKnown('prices', 'proof', 100_000));
    t.notOk(model.isKnown('prices', 'proof', 100_000 + 3_600_000));
  },
);
