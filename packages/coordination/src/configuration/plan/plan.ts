import type {Configuration, ConfigurationOperation} from '../document.js';
import {renderCanonical} from '../operations.js';
import {getDigest} from './digest.js';

/** What a plan does to the tasks of one workload. */
export interface PlanEffect {
  readonly action: 'start' | 'move' | 'slow' | 'stop';
  readonly workload: string;
  /** Number of tasks. */
  readonly tasks: number;
  /** Hosts concerned, as far as they are known. */
  readonly hosts: readonly string[];
  readonly reason: string;
}

/** Returns what a configuration would do, or undefined when this process schedules no cell. */
export type EffectPrediction = (next: Configuration) => readonly PlanEffect[] | undefined;

/** What an operator is shown before anything changes. */
export interface Plan {
  /** Becomes the id of the change when it is confirmed. */
  readonly planId: string;
  readonly baseVersion: number;
  readonly author: string;
  readonly operations: readonly ConfigurationOperation[];
  readonly effects: readonly PlanEffect[];
  /** `scheduler`: effects on the tasks of the fleet; `declared`: task counts of the documents only. */
  readonly prediction: 'scheduler' | 'declared';
  /** Digest over everything else. */
  readonly digest: string;
}

/** Returns a plan with its digest. */
export function sealPlan(plan: Omit<Plan, 'digest'>): Plan {
  const {planId, baseVersion, author, operations, effects, prediction} = plan;
  const content = {planId, baseVersion, author, operations, effects, prediction};
  return {...content, digest: getDigest(renderCanonical(content))};
}
