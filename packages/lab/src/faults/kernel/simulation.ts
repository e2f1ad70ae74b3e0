import type {HistoryEvent} from '../../histories/history-event.js';
import {SeededRandom} from './seeded-random.js';

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'at'> : never;

interface ScheduledAction {
  readonly at: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** Discrete-event simulation: runs actions in the order of their virtual time, and of scheduling for equal times. */
export class Simulation {
  readonly random: SeededRandom;
  /** Events recorded so far, from which the promises are checked. */
  readonly history: HistoryEvent[] = [];
  readonly #heap: ScheduledAction[] = [];
  #now = 0;
  #sequence = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /** Current virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Runs an action after a delay. */
  schedule(delayMs: number, action: () => void): void {
    const item = {at: this.#now + Math.max(0, delayMs), sequence: this.#sequence++, action};
    const heap = this.#heap;
    let index = heap.push(item) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(item, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = item;
  }

  /** Adds an event to the history at the current virtual time. */
  record(event: WithoutTime<HistoryEvent>): void {
    this.history.push({...event, at: this.#now} as HistoryEvent);
  }

  /** Runs all actions that are due up to and including a virtual time. */
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
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(a: ScheduledAction, b: ScheduledAction): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
