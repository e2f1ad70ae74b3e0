interface ScheduledAction {
  readonly at: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** Event queue in virtual time. Actions due at the same time run in the order in which they were scheduled. */
export class VirtualTime {
  readonly #heap: ScheduledAction[] = [];
  #now = 0;
  #sequence = 0;

  /** Current virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules an action after a delay; a negative delay counts as 0. */
  schedule(delayMs: number, action: () => void): void {
    const heap = this.#heap;
    heap.push({at: this.#now + Math.max(0, delayMs), sequence: this.#sequence++, action});
    for (let child = heap.length - 1; child > 0;) {
      const parent = (child - 1) >> 1;
      if (!this.#swapIfBefore(child, parent)) break;
      child = parent;
    }
  }

  /** Runs all actions due up to and including a time, and advances the clock to it. */
  runUntil(end: number): void {
    for (let next = this.#heap[0]; next && next.at <= end; next = this.#heap[0]) {
      this.#removeFirst();
      this.#now = next.at;
      next.action();
    }
    this.#now = end;
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (heap.length === 0 || !last) return;
    heap[0] = last;
    for (let parent = 0; ;) {
      let child = parent * 2 + 1;
      if (child >= heap.length) return;
      if (child + 1 < heap.length && this.#isBefore(child + 1, child)) child++;
      if (!this.#swapIfBefore(child, parent)) return;
      parent = child;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const [first, second] = [this.#heap[a] as ScheduledAction, this.#heap[b] as ScheduledAction];
    return first.at < second.at || (first.at === second.at && first.sequence < second.sequence);
  }

  #swapIfBefore(a: number, b: number): boolean {
    if (!this.#isBefore(a, b)) return false;
    const swapped = this.#heap[a] as ScheduledAction;
    this.#heap[a] = this.#heap[b] as ScheduledAction;
    this.#heap[b] = swapped;
    return true;
  }
}
