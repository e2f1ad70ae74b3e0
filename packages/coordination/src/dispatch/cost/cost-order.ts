import type {Lateness} from './submission-value.js';

/** What the order of waiting work depends on. */
export interface OrderKey {
  /** Urgency of the queue; 0 is the most urgent. */
  readonly priority: number;
  readonly lateness: Lateness;
  /** Obtainable value for each core-millisecond of remaining work; infinite for serving submissions. */
  readonly density: number;
  /** Time in milliseconds for which it can wait without losing value. */
  readonly slackMs: number;
}

/**
 * Compares waiting work by what its delay costs callers: priorities are strict; work that can still earn its full value
 * goes before late work, and that before work without value. Then the work that earns most for the capacity that it still
 * needs goes first, so that begun work is finished and the least value is lost when capacity is short; among equal
 * densities, the work that would lose its value soonest goes first.
 */
export function compareCost(a: OrderKey, b: OrderKey): number {
  return (
    a.priority - b.priority ||
    a.lateness - b.lateness ||
    compareNumbers(b.density, a.density) ||
    a.slackMs - b.slackMs
  );
}

/** Compares numbers that may be infinite. */
function compareNumbers(a: number, b: number): number {
  return a === b ? 0 : a - b;
}
