/** The promises to users in the order of section 1 of the design document. */
export const promises = [
  'host-limits',
  'single-placement',
  'resume-once',
  'whole-own-answer',
  'not-run-is-true',
  'at-most-once',
  'drained-no-new-work',
  'graceful-shutdown',
  'configuration-in-force',
] as const;

/** Name of a promise, as printed in reports. */
export type PromiseName = (typeof promises)[number];

/** Returns the short id of a promise, `P1` to `P9`. */
export function getPromiseId(promise: PromiseName): string {
  return `P${promises.indexOf(promise) + 1}`;
}

/** A violation of a promise found in a history. */
export interface Violation {
  readonly promise: PromiseName;
  readonly at: number;
  /** Request, task, host or process that the violation concerns. */
  readonly subject: string;
  readonly detail: string;
}
