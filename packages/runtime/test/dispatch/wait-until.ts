/** Interval in milliseconds at which the condition is checked. */
const pollMs = 10;

/** Waits until a condition holds; if it never does, the test's timeout ends the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, pollMs));
}
