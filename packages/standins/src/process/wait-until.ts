const pollMs = 20;

/** Polls until the condition holds; throws with `what` after the limit. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  limitMs = 15_000,
): Promise<void> {
  const end = performance.now() + limitMs;
  while (performance.now() < end) {
    if (await condition()) return;
    await new Promise(resolve => setTimeout(resolve, pollMs));
  }
  throw new Error(`gave up waiting: ${what}`);
}
