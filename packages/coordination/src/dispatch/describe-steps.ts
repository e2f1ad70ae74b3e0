import type {Step} from '../submissions/index.js';

/** Describes steps in one line for the log: number of tasks, cores, estimate, flags and spread limit. */
export function describeSteps(steps: readonly Step[]): string {
  return steps
    .map(step => {
      const flags = (['lasting', 'fills', 'gang', 'checkpoints', 'speculative'] as const)
        .filter(flag => step[flag])
        .join(',');
      const limit = step.spreadLimit === undefined ? '' : `,spread ${step.spreadLimit}`;
      return `${step.count}x${step.need.processors}c/${step.estimatedMs}ms ${flags}${limit}`;
    })
    .join('; ');
}
