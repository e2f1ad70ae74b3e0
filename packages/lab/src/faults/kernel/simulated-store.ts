import {
  createDelivery,
  type Delivery,
  type InteractionListener,
  type InjectionPoint,
} from './interaction.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {Simulation} from './simulation.js';

/** A call to the store. */
export type StoreCall =
  | {readonly kind: 'get'; readonly key: string}
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: unknown;
      /** Revision that the key must have; 0 when it must be absent. */
      readonly expect?: number;
      readonly lease?: string;
    }
  | {readonly kind: 'delete'; readonly key: string; readonly expect?: number}
  | {readonly kind: 'create-lease'; readonly ttlMs: number}
  | {readonly kind: 'renew-lease'; readonly lease: string}
  | {readonly kind: 'delete-lease'; readonly lease: string}
  | {
      readonly kind: 'watch';
      readonly key: string;
      /** The store answers once the key has a higher revision, or after `waitMs`. */
      readonly after: number;
      readonly waitMs: number;
    };

/**
 * Result of a call as its caller sees it. `unavailable`: the store refused the call during an outage. `unknown`: the
 * call timed out; it may have taken effect or may still do so.
 */
export type StoreReply =
  | {
      readonly result: 'ok';
      readonly revision: number;
      readonly value?: unknown;
      readonly lease?: string;
    }
  | {readonly result: 'mismatch'; readonly revision?: number}
  | {readonly result: 'unavailable'}
  | {readonly result: 'unknown'};

interface StoredValue {
  value: unknown;
  revision: number;
  lease?: string;
}

interface Lease {
  readonly ttlMs: number;
  endsAt: number;
}

/** Time after which a client stops waiting for an answer, in addition to `waitMs` of a watch. */
export const storeTimeoutMs = 1_000;

/** Key-value store with compare-and-swap, leases and watches. Its values survive restarts of all processes. */
export class SimulatedStore {
  /** Called for each call at each injection point. */
  listener: InteractionListener = () => {};
  /** Number of calls that the store executed, by kind. */
  readonly calls = new Map<string, number>();
  /** Called with each value that is written. */
  onWrite: (key: string, value: unknown) => void = () => {};
  /** Latency of a call in each direction. */
  latencyMs = 3;
  /** Virtual time in milliseconds until which calls are refused as `unavailable`. */
  outageUntil = 0;
  /** Virtual time in milliseconds until which the latency is random, from 200 to 1,500 ms. */
  slowUntil = 0;
  readonly #storedValues = new Map<string, StoredValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #watchers = new Map<string, Set<() => void>>();
  readonly #cutUntil = new Map<string, number>();
  readonly #processesLosingNextAnswer = new Set<string>();
  #revision = 0;

  constructor(private readonly simulation: Simulation) {}

  /** Returns the value of a key without a simulated call, for checks after a run. */
  peek(key: string): unknown {
    return this.#storedValues.get(key)?.value;
  }

  /** Cuts the path between one process and the store for a time. */
  cut(process: string, durationMs: number): void {
    this.#cutUntil.set(process, this.simulation.now + durationMs);
  }

  /** Drops the answer to the next call of a process after the call took effect. */
  loseAnswer(process: string): void {
    this.#processesLosingNextAnswer.add(process);
  }

  /** Executes a call and passes its result to the process; the result is dropped when the process restarts first. */
  call(process: SimulatedProcess, call: StoreCall, onReply: (reply: StoreReply) => void): void {
    const step = `store:${call.kind}:${getKeyGroup(call)}`;
    const delivery = createDelivery();
    const notifyListener = (point: InjectionPoint, deliveryAtPoint: Delivery = delivery) =>
      this.listener({step, point, from: process.name, to: 'store', delivery: deliveryAtPoint});
    const life = process.life;
    notifyListener('before-send');
    if (!process.isAlive || process.life !== life) return;
    let isSettled = false;
    const settle = (reply: StoreReply) => {
      if (isSettled || process.life !== life) return;
      isSettled = true;
      process.deliver(() => {
        if (process.life !== life) return;
        onReply(reply);
        notifyListener('after-answer');
      });
    };
    const watchMs = call.kind === 'watch' ? call.waitMs : 0;
    this.simulation.schedule(watchMs + storeTimeoutMs, () => settle({result: 'unknown'}));
    const apply = () => {
      notifyListener('before-effect');
      if (delivery.lost || this.#isCut(process.name)) return;
      if (this.outageUntil > this.simulation.now) {
        this.simulation.schedule(this.#getLatencyMs(), () => settle({result: 'unavailable'}));
        return;
      }
      this.#apply(call, reply => {
        const after = createDelivery();
        notifyListener('before-answer', after);
        const lost = this.#processesLosingNextAnswer.delete(process.name) || after.lost;
        if (lost || this.#isCut(process.name)) return;
        this.simulation.schedule(this.#getLatencyMs() + after.delayMs, () => settle(reply));
      });
    };
    const delayMs = this.#getLatencyMs() + delivery.delayMs;
    for (let copy = 0; copy <= delivery.copies; copy++) {
      this.simulation.schedule(delayMs + copy * 50, apply);
    }
  }

  #apply(call: StoreCall, answer: (reply: StoreReply) => void): void {
    this.calls.set(call.kind, (this.calls.get(call.kind) ?? 0) + 1);
    switch (call.kind) {
      case 'get': {
        const entry = this.#storedValues.get(call.key);
        answer({result: 'ok', revision: entry?.revision ?? 0, value: cloneAsJson(entry?.value)});
        break;
      }
      case 'put': {
        const entry = this.#storedValues.get(call.key);
        const isStale = call.expect !== undefined && (entry?.revision ?? 0) !== call.expect;
        if (isStale || (call.lease !== undefined && !this.#leases.has(call.lease))) {
          answer({result: 'mismatch', revision: entry?.revision ?? 0});
          break;
        }
        const revision = ++this.#revision;
        this.#storedValues.set(call.key, {
          value: cloneAsJson(call.value),
          revision,
          lease: call.lease,
        });
        this.onWrite(call.key, call.value);
        answer({result: 'ok', revision});
        this.#notify(call.key);
        break;
      }
      case 'delete': {
        const entry = this.#storedValues.get(call.key);
        if (call.expect !== undefined && (entry?.revision ?? 0) !== call.expect) {
          answer({result: 'mismatch', revision: entry?.revision ?? 0});
          break;
        }
        this.#storedValues.delete(call.key);
        answer({result: 'ok', revision: ++this.#revision});
        this.#notify(call.key);
        break;
      }
      case 'create-lease': {
        const lease = `lease-${++this.#revision}`;
        this.#leases.set(lease, {ttlMs: call.ttlMs, endsAt: this.simulation.now + call.ttlMs});
        this.#expireLeaseWhenDue(lease);
        answer({result: 'ok', revision: this.#revision, lease});
        break;
      }
      case 'renew-lease': {
        const lease = this.#leases.get(call.lease);
        if (lease) lease.endsAt = this.simulation.now + lease.ttlMs;
        answer(lease ? {result: 'ok', revision: this.#revision} : {result: 'mismatch'});
        break;
      }
      case 'delete-lease':
        this.#endLease(call.lease);
        answer({result: 'ok', revision: this.#revision});
        break;
      case 'watch':
        this.#watch(call.key, call.after, call.waitMs, answer);
    }
  }

  #watch(key: string, after: number, waitMs: number, answer: (reply: StoreReply) => void): void {
    const watchers = this.#watchers.get(key) ?? new Set();
    this.#watchers.set(key, watchers);
    let isOpen = true;
    const check = () => {
      const entry = this.#storedValues.get(key);
      if (!isOpen || (entry?.revision ?? 0) <= after) return;
      close({result: 'ok', revision: entry!.revision, value: cloneAsJson(entry!.value)});
    };
    const close = (reply: StoreReply) => {
      if (!isOpen) return;
      isOpen = false;
      watchers.delete(check);
      answer(reply);
    };
    watchers.add(check);
    this.simulation.schedule(waitMs, () => close({result: 'ok', revision: after}));
    check();
  }

  #notify(key: string): void {
    for (const check of [...(this.#watchers.get(key) ?? [])]) check();
  }

  #expireLeaseWhenDue(name: string): void {
    const lease = this.#leases.get(name);
    if (!lease) return;
    // Leases do not expire during an outage: the store cannot receive renewals, so it keeps them until it is back.
    const end = Math.max(lease.endsAt, this.outageUntil);
    if (end <= this.simulation.now) this.#endLease(name);
    else this.simulation.schedule(end - this.simulation.now, () => this.#expireLeaseWhenDue(name));
  }

  #endLease(name: string): void {
    this.#leases.delete(name);
    for (const [key, entry] of this.#storedValues) {
      if (entry.lease !== name) continue;
      this.#storedValues.delete(key);
      this.#revision++;
      this.#notify(key);
    }
  }

  #isCut(process: string): boolean {
    return (this.#cutUntil.get(process) ?? 0) > this.simulation.now;
  }

  #getLatencyMs(): number {
    const slow = this.slowUntil > this.simulation.now;
    return slow ? this.simulation.random.between(200, 1_500) : this.latencyMs;
  }
}

function cloneAsJson(value: unknown): unknown {
  return value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown);
}

/**
 * Returns the group of keys that a step names: the last part of a key below `cell/`, otherwise the first part of the
 * key, and `lease` for a call without a key.
 */
function getKeyGroup(call: StoreCall): string {
  if (!('key' in call)) return 'lease';
  return call.key.split('/').at(call.key.startsWith('cell/') ? -1 : 0)!;
}
