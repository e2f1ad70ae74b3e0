import {urgencies} from '../messages/identity.js';
import {GuaranteedOrder, type QueueClass, type QueueOrder} from './queue-order.js';

/** Options of a `FairQueue`. */
export interface FairQueueOptions {
  /** Time after which a queue counts as standing and its old requests are shed. */
  readonly standingMs: number;
  readonly maxItemsPerClass: number;
  /** Bound on the bodies of all queued requests. */
  readonly maxBytes: number;
  readonly order: QueueOrder;
}

/** Time over which the use of a class is averaged. */
const usageMs = 500;

const defaults: FairQueueOptions = {
  standingMs: 100,
  maxItemsPerClass: 2000,
  maxBytes: 32 * 1024 * 1024,
  order: new GuaranteedOrder(),
};

interface Queued<Item> {
  readonly item: Item;
  readonly since: number;
  readonly deadline: number;
  readonly bytes: number;
  removed: boolean;
}

interface ClassState<Item> {
  share: QueueClass;
  level: number;
  items: Array<Queued<Item>>;
  head: number;
  size: number;
  inFlight: number;
  /** Requests in flight, averaged over the last half second. */
  usage: number;
  usageAt: number;
  oldestAt: number;
  /** Virtual service received, for fairness among equals. */
  virtual: number;
  /** Last time at which the queue was empty or a request left it after a short wait. */
  shortAt: number;
  takenPerMs: number;
  takenAt: number;
}

/** A request that left the queue and the target that was picked for it. */
export interface Taken<Item, Target> {
  readonly item: Item;
  readonly target: Target;
}

/** Queue over classes, bounded by time, number and bytes. Its order decides which class is served next. */
export class FairQueue<Item> {
  private readonly options: FairQueueOptions;
  private readonly classes = new Map<string, ClassState<Item>>();
  private readonly places = new Map<Item, {state: ClassState<Item>; queued: Queued<Item>}>();
  private bytes = 0;

  constructor(options: Partial<FairQueueOptions> = {}) {
    this.options = {...defaults, ...options};
  }

  /** Number of queued requests. */
  getSize(): number {
    return this.places.size;
  }

  /** Requests of a class that were taken and not released. */
  getInFlight(key: string): number {
    return this.classes.get(key)?.inFlight ?? 0;
  }

  /** Number of queued requests of a class. */
  getClassSize(key: string): number {
    return this.classes.get(key)?.size ?? 0;
  }

  /** Expected wait of a request that would join a class now. */
  getClassWaitMs(key: string): number {
    const state = this.classes.get(key);
    if (!state || state.size === 0) return 0;
    return state.takenPerMs > 0 ? state.size / state.takenPerMs : Infinity;
  }

  /** Whether a request that joins a class now would be shed for its wait. */
  isShedding(key: string, at: number): boolean {
    const state = this.classes.get(key);
    if (!state || state.size === 0) return false;
    const {standingMs} = this.options;
    // Twice the bound, because the rate is an estimate; a request that is refused wrongly costs goodput.
    return at - state.shortAt > standingMs && this.getExpectedWaitMs(state, at) > 2 * standingMs;
  }

  /** Defines or changes a class. */
  setClass(key: string, share: QueueClass): void {
    const level = urgencies.indexOf(share.urgency);
    const state = this.classes.get(key);
    if (state) {
      state.share = share;
      state.level = level;
      return;
    }
    this.classes.set(key, {
      share,
      level,
      items: [],
      head: 0,
      size: 0,
      inFlight: 0,
      usage: 0,
      usageAt: 0,
      oldestAt: 0,
      virtual: 0,
      shortAt: -Infinity,
      takenPerMs: 0,
      takenAt: -Infinity,
    });
  }

  /** Whether a class is defined. */
  hasClass(key: string): boolean {
    return this.classes.has(key);
  }

  /** Adds a request; returns false when it is shed because its wait would be too long or the queue is full. */
  push(key: string, item: Item, at: number, deadline: number, bytes: number): boolean {
    const state = this.getStateOrThrow(key);
    if (state.size === 0) {
      state.shortAt = at;
      this.catchUp(state);
    }
    if (state.size >= this.options.maxItemsPerClass) return false;
    if (this.bytes + bytes > this.options.maxBytes) return false;
    if (this.getExpectedWaitMs(state, at) > deadline - at) return false;
    const queued = {item, since: at, deadline, bytes, removed: false};
    state.items.push(queued);
    this.account(state, queued, 1);
    return true;
  }

  /** Takes the next request for whose class `pick` finds a target and counts it as in flight. */
  take<Target>(
    at: number,
    pick: (item: Item) => Target | undefined,
  ): Taken<Item, Target> | undefined {
    const tried = new Set<ClassState<Item>>();
    for (;;) {
      const state = this.getNextClass(tried, at);
      if (!state) return undefined;
      tried.add(state);
      const queued = this.getHead(state);
      if (!queued) continue;
      const target = pick(queued.item);
      if (target === undefined) continue;
      this.remove(queued.item);
      this.noteTaken(state, queued, at);
      return {item: queued.item, target};
    }
  }

  /** Ends a request in flight of a class. */
  release(key: string, at: number): void {
    const state = this.getStateOrThrow(key);
    settleUsage(state, at);
    state.inFlight -= 1;
  }

  /** Removes a queued request; returns false when it is not queued. */
  remove(item: Item): boolean {
    const place = this.places.get(item);
    if (!place) return false;
    place.queued.removed = true;
    this.account(place.state, place.queued, -1);
    return true;
  }

  /** Removes and returns the requests that have waited too long. */
  shed(at: number): Item[] {
    const shed: Item[] = [];
    for (const state of this.classes.values()) {
      for (;;) {
        const queued = this.getHead(state);
        if (!queued || !this.isOverdue(state, queued, at)) break;
        this.remove(queued.item);
        shed.push(queued.item);
      }
    }
    return shed;
  }

  private isOverdue(state: ClassState<Item>, queued: Queued<Item>, at: number): boolean {
    if (queued.deadline <= at) return true;
    const {standingMs} = this.options;
    return at - queued.since > standingMs && at - state.shortAt > standingMs;
  }

  private getExpectedWaitMs(state: ClassState<Item>, at: number): number {
    if (state.takenPerMs === 0 || at - state.takenAt > 1000) return 0;
    return state.size / state.takenPerMs;
  }

  private noteTaken(state: ClassState<Item>, queued: Queued<Item>, at: number): void {
    settleUsage(state, at);
    state.inFlight += 1;
    state.virtual += 1 / Math.max(0.01, state.share.weight);
    // Shedding keeps the wait of a standing queue near the bound, so only a clearly shorter wait ends the standing.
    if (at - queued.since <= this.options.standingMs / 2 || state.size === 0) state.shortAt = at;
    const gapMs = Math.max(at - state.takenAt, 0.001);
    const rate = gapMs > 1000 ? state.takenPerMs : 1 / gapMs;
    // Weighted by the gap, so that a burst of takes at one instant does not look like a high rate.
    const weight = 1 - Math.exp(-gapMs / 200);
    state.takenPerMs += (rate - state.takenPerMs) * weight;
    state.takenAt = at;
  }

  /** A class that was idle does not get service back for the time it asked for nothing. */
  private catchUp(state: ClassState<Item>): void {
    let minimum = Infinity;
    for (const other of this.classes.values()) {
      if (other.size > 0 && other.level === state.level) minimum = Math.min(minimum, other.virtual);
    }
    if (minimum !== Infinity) state.virtual = Math.max(state.virtual, minimum);
  }

  private getNextClass(tried: Set<ClassState<Item>>, at: number): ClassState<Item> | undefined {
    let best: ClassState<Item> | undefined;
    for (const state of this.classes.values()) {
      if (state.size === 0 || tried.has(state)) continue;
      const head = this.getHead(state);
      if (!head) continue;
      state.oldestAt = head.since;
      settleUsage(state, at);
      if (!best || this.options.order.isBefore(state, best)) best = state;
    }
    return best;
  }

  private getHead(state: ClassState<Item>): Queued<Item> | undefined {
    while (state.head < state.items.length) {
      const queued = state.items[state.head]!;
      if (!queued.removed) return queued;
      state.head += 1;
      if (state.head > 64 && state.head * 2 > state.items.length) {
        state.items = state.items.slice(state.head);
        state.head = 0;
      }
    }
    state.items = [];
    state.head = 0;
    return undefined;
  }

  private account(state: ClassState<Item>, queued: Queued<Item>, by: 1 | -1): void {
    state.size += by;
    this.bytes += by * queued.bytes;
    if (by === 1) this.places.set(queued.item, {state, queued});
    else this.places.delete(queued.item);
  }

  private getStateOrThrow(key: string): ClassState<Item> {
    const state = this.classes.get(key);
    if (!state) throw new RangeError(`class ${key} is not defined`);
    return state;
  }
}

function settleUsage<Item>(state: ClassState<Item>, at: number): void {
  const weight = Math.min(1, (at - state.usageAt) / usageMs);
  state.usage += (state.inFlight - state.usage) * weight;
  state.usageAt = at;
}
