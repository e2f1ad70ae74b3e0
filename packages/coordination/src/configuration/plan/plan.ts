import type {Configuration, ConfigurationOperation} from '../document.js';
import {renderCanonical} from '../operations.js';
import {getDigest} from './digest.js';

/** Effect of a plan on the tasks of one workload. */
export interface PlanEffect {
  readonly action: 'start' | 'move' | 'slow' | 'stop';
  readonly workload: string;
  /** Number of affected tasks. */
  readonly tasks: number;
  /** Affected hosts that are known; possibly none. */
  readonly hosts: readonly string[];
  readonly reason: string;
}

/**
 * Predicts the effects of a configuration. Returns undefined when this process cannot predict them, for example because
 * it owns no cell.
 */
export type EffectPredictor = (next: Configuration) => readonly PlanEffect[] | undefined;

/** A change with its predicted effects, shown to an operator for confirmation before it is applied. */
export interface Plan {
  /** Becomes the id of the change once the plan is confirmed. */
  readonly planId: string;
  readonly baseVersion: number;
  readonly author: string;
  readonly operations: readonly ConfigurationOperation[];
  readonly effects: readonly PlanEffect[];
  /** `scheduler`: effects predicted by the scheduler; `declared`: differences of the declared task counts only. */
  readonly prediction: 'scheduler' | 'declared';
  /** Digest of all other fields. */
  readonly digest: string;
}

/** Returns a plan with its digest. */
export function sealPlan(plan: Omit<Plan, 'digest'>): Plan {
  const {planId, baseVersion, author, operations, effects, prediction} = plan;
  const content = {planId, baseVersion, author, operations, effects, prediction};
  return {...content, digest: getDigest(renderCanonical(content))};
}
