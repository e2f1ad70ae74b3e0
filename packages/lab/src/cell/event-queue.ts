/** Runs actions in the order of virtual time; actions at the same time run in the order of scheduling. */
export class EventQueue {
  private readonly heap: Array<{at: number; order: number; action: () => void}> = [];
  private order = 0;
  private time = 0;

  /** Virtual time in milliseconds. */
  get now(): number {
    return this.time;
  }

  /** Runs an action after a delay. */
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

  /** Runs an action repeatedly until it returns false. */
  every(intervalMs: number, action: () => boolean | void, offsetMs = intervalMs): void {
    this.after(offsetMs, () => {
      if (action() !== false) this.every(intervalMs, action);
    });
  }

  /** Runs all actions up to and including a time. */
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
