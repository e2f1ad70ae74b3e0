import {urgencies} from '../messages/identity.js';
import {GuaranteedOrder, type QueueClass, type QueueOrder} from './queue-order.js';

/** Options of a `FairQueue`. */
export interface FairQueueOptions {
  /**
   * Time in milliseconds after which a queue counts as standing if no request has left it after a short wait (at most
   * half of this time). Requests that have waited longer than this are then shed.
   */
  readonly standingMs: number;
  /** Maximum number of queued requests of one class. */
  readonly maxItemsPerClass: number;
  /** Maximum total size of the bodies of all queued requests. */
  readonly maxBytes: number;
  /** Scheduling policy between the classes. */
  readonly order: QueueOrder;
}

/** Window of the moving average of the requests in flight of a class. */
const usageWindowMs = 500;

const defaults: FairQueueOptions = {
  standingMs: 100,
  maxItemsPerClass: 2000,
  maxBytes: 32 * 1024 * 1024,
  order: new GuaranteedOrder(),
};

interface QueueEntry<Item> {
  readonly item: Item;
  readonly enqueuedAt: number;
  readonly deadline: number;
  readonly bytes: number;
  isRemoved: boolean;
}

interface ClassState<Item> {
  queueClass: QueueClass;
  /** Guaranteed requests in flight at the current scale. */
  guaranteed: number;
  /** Index of the urgency; 0 is the highest. */
  level: number;
  items: Array<QueueEntry<Item>>;
  headIndex: number;
  size: number;
  inFlight: number;
  /** Moving average of the requests in flight over `usageWindowMs`. */
  usage: number;
  usageUpdatedAt: number;
  /** Arrival time of the oldest queued request. */
  oldestAt: number;
  /** Requests taken divided by weight, for weighted fair queueing among classes of equal urgency. */
  virtualService: number;
  /** Last time at which the queue was empty or a request left it after a short wait. */
  shortWaitAt: number;
  /** Moving average of the rate at which requests are taken; 0 until two were taken within a second. */
  dequeuedPerMs: number;
  lastDequeuedAt: number;
}

/** A dequeued request and the target that was picked for it. */
export interface DequeuedItem<Item, Target> {
  readonly item: Item;
  readonly target: Target;
}

/**
 * Queue with one FIFO per class, bounded by waiting time, number of requests and bytes. The requests of one
 * service form a class. The `QueueOrder` decides which class is served next.
 */
export class FairQueue<Item> {
  private readonly options: FairQueueOptions;
  private readonly classes = new Map<string, ClassState<Item>>();
  /** Classes with queued requests, so that the cost of a tick does not grow with idle classes. */
  private readonly waiting = new Set<ClassState<Item>>();
  private scale = 1;
  private readonly entriesByItem = new Map<
    Item,
    {state: ClassState<Item>; queued: QueueEntry<Item>}
  >();
  private bytes = 0;

  /** Creates a queue; `getQueueClass` returns the urgency and share of a class when its first request arrives. */
  constructor(
    options: Partial<FairQueueOptions> = {},
    private readonly getQueueClass?: (key: string) => QueueClass,
  ) {
    this.options = {...defaults, ...options};
  }

  /** Number of queued requests. */
  getSize(): number {
    return this.entriesByItem.size;
  }

  /** Requests of a class that were taken and not yet released. */
  getInFlight(key: string): number {
    return this.classes.get(key)?.inFlight ?? 0;
  }

  /** Number of queued requests of a class. */
  getClassSize(key: string): number {
    return this.classes.get(key)?.size ?? 0;
  }

  /**
   * Expected wait in milliseconds of a request that joins a class now; `Infinity` when requests are queued but none
   * was taken yet.
   */
  getClassWaitMs(key: string): number {
    const state = this.classes.get(key);
    if (!state || state.size === 0) return 0;
    return state.dequeuedPerMs > 0 ? state.size / state.dequeuedPerMs : Infinity;
  }

  /** Whether a request that joins a class now would be shed because of its wait. */
  isShedding(key: string, at: number): boolean {
    const state = this.classes.get(key);
    if (!state || state.size === 0) return false;
    const {standingMs} = this.options;
    // Twice the bound, because the rate is an estimate and a wrongly refused request costs goodput.
    return at - state.shortWaitAt > standingMs && this.estimateWaitMs(state, at) > 2 * standingMs;
  }

  /** Sets the factor that converts the share of a class into its guaranteed requests in flight. */
  setScale(scale: number): void {
    this.scale = scale;
  }

  /** Updates the shares of all classes, and deletes idle classes for which `isKept` returns false. */
  refresh(isKept: (key: string) => boolean): void {
    for (const [key, state] of this.classes) {
      if (!isKept(key) && state.size === 0 && state.inFlight === 0) this.classes.delete(key);
      else if (this.getQueueClass) this.setClass(key, this.getQueueClass(key));
    }
  }

  /** Adds a class or changes its share. */
  setClass(key: string, queueClass: QueueClass): void {
    const level = urgencies.indexOf(queueClass.urgency);
    const state = this.classes.get(key);
    if (state) {
      state.queueClass = queueClass;
      state.level = level;
      return;
    }
    this.classes.set(key, {
      queueClass,
      guaranteed: queueClass.guaranteed,
      level,
      items: [],
      headIndex: 0,
      size: 0,
      inFlight: 0,
      usage: 0,
      usageUpdatedAt: 0,
      oldestAt: 0,
      virtualService: 0,
      shortWaitAt: -Infinity,
      dequeuedPerMs: 0,
      lastDequeuedAt: -Infinity,
    });
  }

  /**
   * Adds a request; returns false when its expected wait exceeds its deadline or the queue is full. Throws a
   * `RangeError` for an undefined class when there is no `getQueueClass`.
   */
  push(key: string, item: Item, at: number, deadline: number, bytes: number): boolean {
    const state = this.getStateOrThrow(key);
    if (state.size === 0) {
      state.shortWaitAt = at;
      this.advanceVirtualService(state);
    }
    if (state.size >= this.options.maxItemsPerClass) return false;
    if (this.bytes + bytes > this.options.maxBytes) return false;
    if (this.estimateWaitMs(state, at) > deadline - at) return false;
    const queued = {item, enqueuedAt: at, deadline, bytes, isRemoved: false};
    state.items.push(queued);
    this.updateTotals(state, queued, 1);
    return true;
  }

  /**
   * Removes the next request for which `pick` returns a target, and counts it as in flight. Only the oldest request
   * of each class is offered to `pick`.
   */
  dequeue<Target>(
    at: number,
    pick: (item: Item) => Target | undefined,
  ): DequeuedItem<Item, Target> | undefined {
    const triedClasses = new Set<ClassState<Item>>();
    for (;;) {
      const state = this.getNextClass(triedClasses, at);
      if (!state) return undefined;
      triedClasses.add(state);
      const queued = this.getHead(state);
      if (!queued) continue;
      const target = pick(queued.item);
      if (target === undefined) continue;
      this.remove(queued.item);
      this.recordDequeue(state, queued, at);
      return {item: queued.item, target};
    }
  }

  /** Counts a request in flight of a class as finished. Throws a `RangeError` like `push`. */
  release(key: string, at: number): void {
    const state = this.getStateOrThrow(key);
    updateUsage(state, at);
    state.inFlight -= 1;
  }

  /** Removes a queued request; returns false when it is not queued. */
  remove(item: Item): boolean {
    const found = this.entriesByItem.get(item);
    if (!found) return false;
    found.queued.isRemoved = true;
    this.updateTotals(found.state, found.queued, -1);
    return true;
  }

  /** Removes and returns the requests that waited too long or passed their deadline. */
  shed(at: number): Item[] {
    const shed: Item[] = [];
    for (const state of this.waiting) {
      for (;;) {
        const queued = this.getHead(state);
        if (!queued || !this.isOverdue(state, queued, at)) break;
        this.remove(queued.item);
        shed.push(queued.item);
      }
    }
    return shed;
  }

  private isOverdue(state: ClassState<Item>, queued: QueueEntry<Item>, at: number): boolean {
    if (queued.deadline <= at) return true;
    const {standingMs} = this.options;
    return at - queued.enqueuedAt > standingMs && at - state.shortWaitAt > standingMs;
  }

  /** Expected wait; 0 without a rate from the last second, so that no request is refused on an outdated rate. */
  private estimateWaitMs(state: ClassState<Item>, at: number): number {
    if (state.dequeuedPerMs === 0 || at - state.lastDequeuedAt > 1000) return 0;
    return state.size / state.dequeuedPerMs;
  }

  private recordDequeue(state: ClassState<Item>, queued: QueueEntry<Item>, at: number): void {
    updateUsage(state, at);
    state.inFlight += 1;
    state.virtualService += 1 / Math.max(0.01, state.queueClass.weight);
    // Shedding keeps the wait in a standing queue near the bound, so only a clearly shorter wait shows that it drained.
    if (at - queued.enqueuedAt <= this.options.standingMs / 2 || state.size === 0)
      state.shortWaitAt = at;
    const gapMs = Math.max(at - state.lastDequeuedAt, 0.001);
    const rate = gapMs > 1000 ? state.dequeuedPerMs : 1 / gapMs;
    // Weighted by the gap (time constant 200 ms), so that a burst of takes at one instant is not mistaken for a high rate.
    const weight = 1 - Math.exp(-gapMs / 200);
    state.dequeuedPerMs += (rate - state.dequeuedPerMs) * weight;
    state.lastDequeuedAt = at;
  }

  /** Raises the virtual service of a class that was idle, so that it cannot claim service for its idle time. */
  private advanceVirtualService(state: ClassState<Item>): void {
    let minimum = Infinity;
    for (const other of this.waiting) {
      if (other.level === state.level) minimum = Math.min(minimum, other.virtualService);
    }
    if (minimum !== Infinity) state.virtualService = Math.max(state.virtualService, minimum);
  }

  private getNextClass(tried: Set<ClassState<Item>>, at: number): ClassState<Item> | undefined {
    let best: ClassState<Item> | undefined;
    for (const state of this.waiting) {
      if (tried.has(state)) continue;
      const head = this.getHead(state);
      if (!head) continue;
      state.oldestAt = head.enqueuedAt;
      state.guaranteed = state.queueClass.guaranteed * this.scale;
      updateUsage(state, at);
      if (!best || this.options.order.isBefore(state, best)) best = state;
    }
    return best;
  }

  private getHead(state: ClassState<Item>): QueueEntry<Item> | undefined {
    while (state.headIndex < state.items.length) {
      const queued = state.items[state.headIndex]!;
      if (!queued.isRemoved) return queued;
      state.headIndex += 1;
      if (state.headIndex > 64 && state.headIndex * 2 > state.items.length) {
        state.items = state.items.slice(state.headIndex);
        state.headIndex = 0;
      }
    }
    state.items = [];
    state.headIndex = 0;
    return undefined;
  }

  private updateTotals(state: ClassState<Item>, queued: QueueEntry<Item>, delta: 1 | -1): void {
    state.size += delta;
    if (state.size > 0) this.waiting.add(state);
    else this.waiting.delete(state);
    this.bytes += delta * queued.bytes;
    if (delta === 1) this.entriesByItem.set(queued.item, {state, queued});
    else this.entriesByItem.delete(queued.item);
  }

  private getStateOrThrow(key: string): ClassState<Item> {
    if (!this.classes.has(key) && this.getQueueClass) this.setClass(key, this.getQueueClass(key));
    const state = this.classes.get(key);
    if (!state) throw new RangeError(`class ${key} is not defined`);
    return state;
  }
}

function updateUsage<Item>(state: ClassState<Item>, at: number): void {
  const weight = Math.min(1, (at - state.usageUpdatedAt) / usageWindowMs);
  state.usage += (state.inFlight - state.usage) * weight;
  state.usageUpdatedAt = at;
}
