import type {Resources} from '../../messages/identity.js';
import {getEstimateMs, type Step} from '../../submissions/index.js';

/** Largest number of needs that are kept for each kind of task. */
const maxNeeds = 8;

/**
 * Resource needs for which a placement round has found no worker. Placements only take room, so a task of the same kind
 * that needs at least as much does not fit either for the rest of the round, and no worker is examined for it. Serving
 * tasks are left out: reservations hold room for some of them.
 */
export class UnplaceableNeeds {
  private readonly needs = new Map<string, Resources[]>();

  /** Records that no worker of a service has room for a task of a step. */
  add(service: string, step: Step, priority: number): void {
    // A spread limit depends on where the other tasks of the step run.
    if (step.lasting || step.spreadLimit !== undefined) return;
    const key = getKindKey(service, step, priority);
    const needs = this.needs.get(key) ?? [];
    if (needs.length >= maxNeeds) needs.shift();
    needs.push(step.need);
    this.needs.set(key, needs);
  }

  /** Whether a task of a step needs at least as much as one that did not fit. */
  has(service: string, step: Step, priority: number): boolean {
    if (step.lasting || this.needs.size === 0) return false;
    const needs = this.needs.get(getKindKey(service, step, priority));
    return needs?.some(need => isCovered(need, step.need)) ?? false;
  }
}

/** Returns a key that is equal for tasks whose placement differs in the resources they need only. */
function getKindKey(service: string, step: Step, priority: number): string {
  const filling = step.fills ? `${step.image ?? ''}/${getEstimateMs(step)}` : '';
  return `${service}/${step.label ?? ''}/${priority > 0}/${step.fills}/${filling}`;
}

function isCovered(need: Resources, other: Resources): boolean {
  return (
    need.processors <= other.processors &&
    need.memoryMb <= other.memoryMb &&
    need.accelerators <= other.accelerators
  );
}
