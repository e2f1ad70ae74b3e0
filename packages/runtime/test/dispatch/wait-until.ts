/** Time in milliseconds between two looks at a condition. */
const pollMs = 10;

/** Waits until a condition holds; the time limit of the test ends a wait in vain. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, pollMs));
}
