/** Event queue in virtual time. Actions due at the same time run in the order in which they were scheduled. */
export class EventQueue {
  private readonly heap: Array<{at: number; order: number; action: () => void}> = [];
  private order = 0;
  private time = 0;

  /** Current virtual time in milliseconds. */
  get now(): number {
    return this.time;
  }

  /** Schedules an action after a delay; a negative delay counts as 0. */
  after(delayMs: number, action: () => void): void {
    const {heap} = this;
    const entry = {at: this.time + Math.max(0, delayMs), order: (this.order += 1), action};
    heap.push(entry);
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!this.isBefore(child, parent)) break;
      this.swap(child, parent);
      child = parent;
    }
  }

  /** Runs an action at an interval until it returns false; the first run is after `offsetMs`. */
  every(intervalMs: number, action: () => boolean | void, offsetMs = intervalMs): void {
    this.after(offsetMs, () => {
      if (action() !== false) this.every(intervalMs, action);
    });
  }

  /** Runs all actions due up to and including a time, and advances the clock to it. */
  runUntil(untilMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (!first || first.at > untilMs) break;
      this.removeFirst();
      this.time = first.at;
      first.action();
    }
    this.time = untilMs;
  }

  private removeFirst(): void {
    const {heap} = this;
    const last = heap.pop();
    if (heap.length === 0 || !last) return;
    heap[0] = last;
    let parent = 0;
    for (;;) {
      let smallest = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if (child < heap.length && this.isBefore(child, smallest)) smallest = child;
      }
      if (smallest === parent) return;
      this.swap(parent, smallest);
      parent = smallest;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const first = this.heap[a];
    const second = this.heap[b];
    if (!first || !second) return false;
    return first.at < second.at || (first.at === second.at && first.order < second.order);
  }

  private swap(a: number, b: number): void {
    const {heap} = this;
    const first = heap[a];
    const second = heap[b];
    if (!first || !second) return;
    heap[a] = second;
    heap[b] = first;
  }
}
