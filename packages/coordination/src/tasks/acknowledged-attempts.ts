/** Number of tasks whose acknowledged attempt is remembered; the least recently added are dropped. */
const maxTasks = 1_000;

/** Remembers the latest acknowledged attempt of recent tasks, so that a delayed task list does not restore it. */
export class AcknowledgedAttempts {
  private readonly attempts = new Map<string, number>();

  /** Whether the attempt, or a later one of the task, was acknowledged. */
  has(task: string, attempt: number): boolean {
    return (this.attempts.get(task) ?? 0) >= attempt;
  }

  /** Records an acknowledged attempt. */
  add(task: string, attempt: number): void {
    this.attempts.delete(task);
    this.attempts.set(task, attempt);
    for (const oldest of this.attempts.keys()) {
      if (this.attempts.size <= maxTasks) break;
      this.attempts.delete(oldest);
    }
  }
}
