import {
  type ValidDraft,
  getQueueKey,
  type Queue,
  type QueueConfiguration,
  getQueueGroup,
  QueueBacklogs,
  type Scheduling,
  type SubmissionStatus,
} from '@chervilbeam/coordination';
import {
  type AttemptState,
  type SubmissionCall,
  type SubmissionReply,
  SubmissionService,
} from '../../../src/dispatch/index.js';
import {StoreHealth} from '../../../src/dispatch/records/store-health.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import {MemoryStore, type StoreFault} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';

/** Queue of the submission in the tests. */
export const queue: Queue = {
  key: getQueueKey('a.example', '/proofs/'),
  name: 'proofs',
  host: 'a.example',
  prefix: '/proofs/',
  service: 'press',
  priority: 1,
  maxAttempts: 2,
  stretchFactor: 2,
  targetLatencyMs: 1_000,
  timeoutMs: 3_000,
};
/** Configuration with the queue of the tests. */
export const configuration: QueueConfiguration = {
  version: 1,
  queues: new Map([[queue.key, queue]]),
  services: new Map(),
  maxBodyBytes: 1,
  maxHeaderBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};
/** Id of the submission in the tests. */
export const id = '00000000000000a1';
const draft: ValidDraft = {
  spec: 'x',
  steps: [
    {
      count: 4,
      need: {processors: 1, memoryMb: 1, accelerators: 0, slots: 0},
      estimatedMs: 1_000,
      after: [],
      checkpoints: false,
      gang: false,
      sameRack: false,
      speculative: false,
      lasting: false,
      fills: false,
    },
  ],
  repetitions: 0,
  startAtMs: 0,
  intervalMs: 0,
};
/** The call that hands in the submission. */
export const submit: SubmissionCall = {kind: 'submit', queue: queue.key, id, draft};
/** Backlog behind which the submission cannot meet its objective. */
export const waits = {waitMs: 60_000, fillWaitMs: 60_000, cores: 16};
/** Backlogs in which the queue has `waits`. */
export const full = new QueueBacklogs(
  [{group: getQueueGroup(queue), ...waits}],
  [{queue: queue.key, pending: 7, runTimeFactor: 1}],
);

/** Backlogs with the same sum of waiting work, and the expected wait in milliseconds behind what is placed first. */
export function createCostBacklogs(urgentWaitMs: number): QueueBacklogs {
  const curve = {cores: 16, urgentWaitMs, points: []};
  const group = getQueueGroup(queue);
  return new QueueBacklogs(full.groups, full.queues, undefined, {
    groups: [{group, reserving: curve, filling: curve}],
    queues: [],
  });
}

/** Backlogs of an owner without memory for further submissions. */
export const withoutMemory = new QueueBacklogs([], [], {
  small: {usedBytes: 1_000, maxBytes: 1_000},
  large: {usedBytes: 0, maxBytes: 1_000_000},
});

/** State of the store and of the other entries, and the call's timeout. */
export interface Fixture {
  readonly isConfigured?: boolean;
  readonly faults?: ReadonlyArray<StoreFault | undefined>;
  readonly storedKeys?: readonly string[];
  readonly backlogs?: QueueBacklogs;
  readonly scheduling?: Scheduling;
  /** Status that the owner returns; absent when no owner replies. */
  readonly ownerStatus?: SubmissionStatus;
  readonly relayedReply?: SubmissionReply;
  readonly relayDelayMs?: number;
  readonly commitDelayMs?: number;
  /** Called after the first read, with its key. */
  readonly onRead?: (store: MemoryStore, key: string) => void;
  /** Number of pending submissions that the owner returns; absent when no owner replies. */
  readonly ownerPending?: number;
  /** Number of other entries. */
  readonly entries?: number;
  readonly timeoutMs?: number;
  /** What the other entries know of earlier attempts. */
  readonly attempt?: AttemptState;
  /** Whether the store has not answered for some time. */
  readonly isStoreFailing?: boolean;
}

/** Executes a call on a new service. */
export async function execute(call: SubmissionCall, fixture: Fixture) {
  const {service, ...rest} = createService(fixture);
  const reply = await service.execute(call, {timeoutMs: fixture.timeoutMs ?? 800});
  return {reply, ...rest};
}

/** Creates a service whose store and peers behave as the fixture says. */
export function createService(fixture: Fixture) {
  const store = new MemoryStore();
  const notified: string[] = [];
  for (const key of fixture.storedKeys ?? []) {
    const value = key.startsWith('progress/')
      ? {final: 'completed', finished: {}, failures: [], checkpoints: []}
      : {id, queue: queue.key};
    store.put(key, JSON.stringify(value));
  }
  store.faults = [...(fixture.faults ?? [])];
  store.commitDelayMs = fixture.commitDelayMs ?? 0;
  let {onRead} = fixture;
  const read = store.read.bind(store);
  store.read = async key => {
    const result = await read(key);
    onRead?.(store, key);
    onRead = undefined;
    return result;
  };
  const {log, lines} = createTestLog();
  const clock = new SystemClock();
  const health = new StoreHealth(clock);
  if (fixture.isStoreFailing) health.recordFailure(Number.NEGATIVE_INFINITY);
  const service = new SubmissionService({
    store,
    health,
    clock,
    log,
    metrics: new Metrics(),
    ...(fixture.scheduling && {scheduling: fixture.scheduling}),
    peers: {
      askOwner: async () =>
        fixture.ownerStatus && {isOwner: true, status: fixture.ownerStatus, queue: queue.key},
      countPending: async () => fixture.ownerPending,
      getEntryCount: () => fixture.entries ?? 1,
      findAttempt: async () => fixture.attempt ?? 'none',
      relay: async () => {
        await new Promise(resolve => setTimeout(resolve, fixture.relayDelayMs ?? 0));
        return fixture.relayedReply;
      },
      notifyCancelled: cancelled => notified.push(cancelled),
    },
  });
  if (fixture.isConfigured !== false) service.configure(configuration);
  if (fixture.backlogs) service.setQueueBacklogs(fixture.backlogs);
  return {service, store, health, notified, lines};
}
