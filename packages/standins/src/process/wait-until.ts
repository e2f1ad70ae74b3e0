const pollIntervalMs = 20;

/** Polls until the condition holds. After `timeoutMs` milliseconds, throws an error that names `description`. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 15_000,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await condition()) return;
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
  }
  throw new Error(`timed out waiting for: ${description}`);
}
