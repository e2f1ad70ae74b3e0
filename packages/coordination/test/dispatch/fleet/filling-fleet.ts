import type {Step} from '../../../src/submissions/index.js';
import {createStep, sharedQueues} from './shared-load.js';
import {VirtualFleet} from './virtual-fleet.js';

/** Creates a fleet of three workers that run filling tasks only; `getFactor` returns the ratio of actual to estimated run times. */
export function createFillingFleet(getFactor: () => number = () => 1): VirtualFleet {
  return new VirtualFleet({
    seed: 1,
    queues: [sharedQueues.batch],
    workers: [0, 1, 2].map(index => ({
      agent: `w${index}`,
      life: `life-${index}`,
      cores: 16,
      rack: 'r0',
    })),
    getBehaviour: (_, submission) => ({
      durationMs: (submission.steps[0]?.estimatedMs ?? 0) * getFactor(),
    }),
  });
}

/** Creates a step of filling tasks that use two cores each. */
export function createFillingStep(count: number, estimatedMs: number): Step {
  return createStep({
    cores: 2,
    fills: true,
    checkpoints: true,
    image: 'render',
    count,
    estimatedMs,
  });
}
