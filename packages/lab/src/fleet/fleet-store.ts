import {
  headKey,
  Jitter,
  parseHead,
  type ConfigurationChange,
  type ConfigurationEffect,
  type StoreAnswer,
} from '@chervilbeam/coordination';
import {StoreState, type StoreReply} from '@chervilbeam/standins';
import type {FleetTraffic} from './fleet-traffic.js';
import type {VirtualTime} from './virtual-time.js';

/** Faults of the simulated store. All fields but `slowMs` are probabilities per call, from 0 to 1. */
export interface FleetStoreFaults {
  /** Writes that take effect but whose answer is lost. */
  readonly lostAnswers: number;
  /** Writes that take effect only after the caller's timeout. */
  readonly lateWrites: number;
  /** Reads of the head that return the value before the latest write. */
  readonly staleReads: number;
  /** Upper bound of the random delay added to a call, half of it in each direction. */
  readonly slowMs: number;
}

const noFaults: FleetStoreFaults = {lostAnswers: 0, lateWrites: 0, staleReads: 0, slowMs: 0};

/** Timeout of a call; the runtime's store client uses the same. */
const timeoutMs = 2000;

/** Time that the client waits for the answer of a watch beyond the watch's own wait. */
const watchGraceMs = 1000;

/** Length of the intervals in which calls are counted. */
const countingIntervalMs = 100;

type StoreEffect = Extract<ConfigurationEffect, {key: string}>;

/** Location and reachability of a caller of the simulated store. */
export interface StoreCaller {
  readonly region: string;
  readonly dataCentre: string;
  /** Whether the caller is alive and connected to the store. */
  isReachable(): boolean;
}

/** Simulated store in virtual time: the state of the stand-in with latency, outages, lost answers and late writes. */
export class FleetStore {
  /** Keys, revisions and watches of the store. */
  readonly state: StoreState;
  /** Every change that was ever accepted, by version. */
  readonly accepted = new Map<number, ConfigurationChange>();
  /** Faults that calls are subject to; may be changed at any time. */
  faults = noFaults;
  /** Whether an outage is in progress; set by `setDown`. */
  isDown = false;
  /** Whether calls in an outage get no answer, instead of `unavailable`. */
  isHanging = false;
  /** Number of calls that reached the store, by interval of 100 ms. */
  readonly #callsByInterval = new Map<number, number>();
  /** Head before the latest write, which stale reads return. */
  #previousHead: StoreReply | undefined;
  /** Callbacks of the waiting watches, called when an outage starts. */
  readonly #outageCallbacks = new Set<() => void>();

  constructor(
    private readonly time: VirtualTime,
    private readonly traffic: FleetTraffic,
    private readonly storeLocation: {readonly region: string; readonly dataCentre: string},
    private readonly random: Jitter,
  ) {
    this.state = new StoreState();
  }

  /**
   * Starts or ends an outage. Its start fails the waiting watches; if `isHanging`, they instead stop reporting changes
   * and end with `quiet` after their wait.
   */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    if (isDown) for (const cut of [...this.#outageCallbacks]) cut();
  }

  /** Returns the current head of the configuration log. */
  getHead(): ReturnType<typeof parseHead> {
    return parseHead(JSON.parse(this.state.peek(headKey).text ?? 'null'));
  }

  /** Returns the highest number of calls in an interval of 100 ms between two times. */
  getPeakCalls(from: number, to: number): number {
    const slots = [...this.#callsByInterval].filter(
      ([interval]) => interval * countingIntervalMs >= from && interval * countingIntervalMs < to,
    );
    return Math.max(0, ...slots.map(([, calls]) => calls));
  }

  /** Returns the number of calls that reached the store between two times. */
  getCalls(from: number, to: number): number {
    let sum = 0;
    for (const [interval, calls] of this.#callsByInterval) {
      if (interval * countingIntervalMs >= from && interval * countingIntervalMs < to) sum += calls;
    }
    return sum;
  }

  /** Executes a watch; `done` is called once, with `quiet` if nothing changed during the wait. */
  watch(
    caller: StoreCaller,
    effect: Extract<StoreEffect, {kind: 'watch'}>,
    done: (answer: StoreAnswer | {readonly result: 'quiet'}) => void,
  ): void {
    const settle = this.#withTimeout(done, effect.waitMs + watchGraceMs);
    this.#sendToStore(caller, settle, () => {
      const answer = (reply: StoreReply | undefined) =>
        this.#sendAnswer(caller, reply ? getBodyBytes(reply) : 0, () =>
          settle(reply ? toAnswer(reply) : {result: 'quiet'}),
        );
      const immediate = this.state.beginWatch(effect.key, effect.after, this.time.now);
      if (immediate) return answer(immediate);
      let isOpen = true;
      const end = (reply: StoreReply | undefined) => {
        if (!isOpen) return;
        isOpen = false;
        unsubscribe();
        this.#outageCallbacks.delete(cut);
        answer(reply);
      };
      const cut = () => (this.isHanging ? unsubscribe() : end({status: 503}));
      const unsubscribe = this.state.onChange(effect.key, () => end(this.state.peek(effect.key)));
      this.#outageCallbacks.add(cut);
      this.time.schedule(effect.waitMs, () => end(undefined));
    });
  }

  /** Carries out a read or write; `done` is called once, with `unknown` after the timeout. */
  call(
    caller: StoreCaller,
    effect: Exclude<StoreEffect, {kind: 'watch'}>,
    done: (answer: StoreAnswer) => void,
  ): void {
    const settle = this.#withTimeout(done, timeoutMs);
    const isWrite = effect.kind === 'swap-head' || effect.kind === 'write-snapshot';
    const text = isWrite ? JSON.stringify(effect.value) : '';
    const apply = () => {
      if (!isWrite) {
        const staleReply = this.#previousHead;
        const reply = this.state.call({kind: 'read', key: effect.key}, this.time.now);
        const isStale =
          staleReply && effect.key === headKey && this.#shouldInject(this.faults.staleReads);
        return isStale ? staleReply : reply;
      }
      const before = this.state.peek(effect.key);
      const expect = effect.expectedRevision;
      const call = {kind: 'write' as const, key: effect.key, text, expect};
      const reply = this.state.call(call, this.time.now);
      if (reply.status === 200 && effect.key === headKey) this.#recordHead(before);
      return reply;
    };
    if (isWrite && this.#shouldInject(this.faults.lateWrites)) {
      this.time.schedule(timeoutMs + this.random.below(3000), () => this.isDown || apply());
      return;
    }
    this.#sendToStore(
      caller,
      settle,
      () => {
        const reply = apply();
        if (isWrite && this.#shouldInject(this.faults.lostAnswers)) return;
        this.#sendAnswer(caller, getBodyBytes(reply), () => settle(toAnswer(reply)));
      },
      text.length,
    );
  }

  #recordHead(previousHead: StoreReply): void {
    this.#previousHead = previousHead;
    for (const change of this.getHead()?.changes ?? []) {
      const accepted = this.accepted.get(change.version);
      if (accepted && accepted.changeId !== change.changeId) {
        throw new Error(
          `configuration version ${change.version} was accepted for two different changes`,
        );
      }
      this.accepted.set(change.version, change);
    }
  }

  #sendToStore(
    caller: StoreCaller,
    settle: (answer: StoreAnswer) => void,
    onArrival: () => void,
    bytes = 0,
  ): void {
    if (!caller.isReachable()) return;
    this.traffic.addStoreCall(caller, this.storeLocation, bytes, 'request');
    this.time.schedule(this.#getLatency(caller), () => {
      if (!caller.isReachable()) return;
      const interval = Math.floor(this.time.now / countingIntervalMs);
      this.#callsByInterval.set(interval, (this.#callsByInterval.get(interval) ?? 0) + 1);
      if (!this.isDown) return onArrival();
      if (this.isHanging) return;
      this.#sendAnswer(caller, 0, () => settle({result: 'unavailable'}));
    });
  }

  #sendAnswer(caller: StoreCaller, bytes: number, onArrival: () => void): void {
    this.traffic.addStoreCall(caller, this.storeLocation, bytes, 'answer');
    this.time.schedule(this.#getLatency(caller), () => {
      if (caller.isReachable()) onArrival();
    });
  }

  #getLatency(caller: StoreCaller): number {
    return (
      1 +
      this.traffic.getLatency(caller, this.storeLocation) +
      this.random.below(this.faults.slowMs / 2)
    );
  }

  #withTimeout<Answer>(
    done: (answer: Answer | StoreAnswer) => void,
    limitMs: number,
  ): (answer: Answer | StoreAnswer) => void {
    let isOpen = true;
    const settle = (answer: Answer | StoreAnswer) => {
      if (isOpen) done(answer);
      isOpen = false;
    };
    this.time.schedule(limitMs, () => settle({result: 'unknown'}));
    return settle;
  }

  #shouldInject(probability: number): boolean {
    return probability > 0 && this.random.below(1) < probability;
  }
}

function getBodyBytes(reply: StoreReply): number {
  return reply.text?.length ?? 0;
}

function toAnswer(reply: StoreReply): StoreAnswer {
  const revision = reply.revision ?? 0;
  if (reply.status === 200) {
    const value = reply.text === undefined ? undefined : (JSON.parse(reply.text) as unknown);
    return {result: 'ok', revision, value: value ?? undefined};
  }
  if (reply.status === 409) return {result: 'mismatch', revision};
  return {result: reply.status === 429 ? 'limited' : 'unavailable'};
}
