/** Number of forgotten attempts that are remembered against late answers of the worker. */
const maxAttempts = 1_000;

/** Highest acknowledged attempt of recent tasks, so that a late list of the worker does not revive them. */
export class AcknowledgedAttempts {
  private readonly attempts = new Map<string, number>();

  /** Whether the attempt, or a later one of the task, was acknowledged. */
  has(task: string, attempt: number): boolean {
    return (this.attempts.get(task) ?? 0) >= attempt;
  }

  /** Remembers an acknowledged attempt. */
  add(task: string, attempt: number): void {
    this.attempts.delete(task);
    this.attempts.set(task, attempt);
    for (const oldest of this.attempts.keys()) {
      if (this.attempts.size <= maxAttempts) break;
      this.attempts.delete(oldest);
    }
  }
}
