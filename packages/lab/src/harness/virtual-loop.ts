interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Event loop in virtual time. Actions due at the same time run in the order in which they were scheduled. */
export class VirtualLoop {
  private readonly heap: Timer[] = [];
  private time = 0;
  private order = 0;

  /** Returns the virtual milliseconds since the start. */
  now(): number {
    return this.time;
  }

  /** Schedules an action after a delay; a negative delay counts as 0. */
  after(delayMs: number, run: () => void): void {
    this.push({at: this.time + Math.max(0, delayMs), order: this.order++, run});
  }

  /** Runs an action at an interval until it returns false; the first run is after one interval. */
  every(intervalMs: number, run: () => boolean | void): void {
    this.after(intervalMs, () => {
      if (run() !== false) this.every(intervalMs, run);
    });
  }

  /** Runs all actions due up to and including a time, and advances the clock to it. */
  runUntil(time: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= time) {
      const timer = this.pop();
      this.time = timer.at;
      timer.run();
    }
    this.time = time;
  }

  private push(timer: Timer): void {
    const {heap} = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): Timer {
    const {heap} = this;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return top;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
