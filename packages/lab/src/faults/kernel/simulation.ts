import type {HistoryEvent} from '../../histories/history-event.js';
import {SeededRandom} from './seeded-random.js';

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'at'> : never;

interface Scheduled {
  readonly at: number;
  readonly sequence: number;
  readonly action: () => void;
}

/** Virtual time: actions run in order of their time, and equal times in the order of scheduling. */
export class Simulation {
  readonly random: SeededRandom;
  /** What happened so far, for the checks of the promises. */
  readonly history: HistoryEvent[] = [];
  readonly #heap: Scheduled[] = [];
  #now = 0;
  #sequence = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /** Present virtual time in milliseconds. */
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

  /** Records an event at the present time. */
  record(event: WithoutTime<HistoryEvent>): void {
    this.history.push({...event, at: this.#now} as HistoryEvent);
  }

  /** Runs all actions up to a time. */
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

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
