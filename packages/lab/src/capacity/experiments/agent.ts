import {
  AgentExchanges,
  AgentTasks,
  type AgentTasksEffect,
  type Grant,
  type WorkerTask,
} from '@chervilbeam/coordination';
import type {CapacityExperiment} from '../experiment.js';
import {getFrameBytes, measureHeapBytes, measureMs, passThroughCodec} from '../meters.js';
import {createConfiguration, createHello, sizesInTwoYears, workerCapacity} from '../sizes.js';

const entries = ['entry-0', 'entry-1', 'entry-2'];
const owner = entries[0]!;
const measuredSeconds = 60;
const tickIntervalMs = 100;
const usageIntervalMs = 5_000;
const stateCopies = 200;

function createTasks(count: number, at: number): WorkerTask[] {
  return Array.from({length: count}, (_, i) => ({
    task: `job-2026-12-04-${i}/${i}`,
    attempt: 2 ** 20 + i,
    workload: `job-2026-12-04-${i}`,
    resources: {processors: 200, memoryMb: 500, accelerators: 0, slots: 1},
    state: 'running',
    leaseMs: 10_000,
    checkpoint: `checkpoint-${i}-${Math.floor(at / 30_000)}`,
  }));
}

/**
 * Runs an agent with tasks for a minute of virtual time, with heartbeats, grants, usage reports and worker reads.
 * Returns the processor time in milliseconds, and the bytes that it sent and received.
 */
function runAgent(agent: AgentTasks, count: number): {ms: number; sent: number; received: number} {
  let sent = 0;
  let received = 0;
  const carryOut = (effects: readonly AgentTasksEffect[], at: number) => {
    for (const effect of effects) {
      if (effect.kind === 'read-worker') {
        const state = {capacity: workerCapacity, rack: 'rack', term: 1};
        carryOut(
          agent.reduce({kind: 'worker-state', ...state, tasks: createTasks(count, at)}, at),
          at,
        );
      } else if (effect.kind === 'worker-call') {
        const {task, attempt, action} = effect;
        agent.reduce({kind: 'worker-result', task, attempt, action, ok: true}, at);
      } else if (effect.kind === 'send') {
        sent += passThroughCodec(effect.message);
        if (effect.message.kind !== 'heartbeat' || effect.peer !== owner) continue;
        const {stamp} = effect.message;
        const message: Grant = {kind: 'grant', cell: 'main', term: 1, stamp, leaseMs: 10_000};
        received += passThroughCodec(message);
        carryOut(agent.reduce({kind: 'message', peer: owner, message}, at), at);
      }
    }
  };
  const ms = measureMs(() => {
    for (const peer of entries) {
      carryOut(agent.reduce({kind: 'peer-up', peer, hello: createHello(peer, 'entry')}, 0), 0);
    }
    for (let at = tickIntervalMs; at <= measuredSeconds * 1_000; at += tickIntervalMs) {
      carryOut(agent.reduce({kind: 'tick', inFlight: 3, configVersion: 7}, at), at);
      if (at % usageIntervalMs !== 0) continue;
      const usages = createTasks(count, at).map(({task, attempt}, i) => ({
        ...{task, attempt},
        usage: {processors: 150 + ((at / 1_000 + i) % 50), memoryMb: 400, progress: 0.5},
      }));
      carryOut(agent.reduce({kind: 'worker-usage', usages}, at), at);
    }
  });
  return {ms, sent, received};
}

/** Cost of an agent's task handling by the tasks that run on its host. */
export const agentTasks: CapacityExperiment = {
  name: 'agent tasks by running tasks',
  role: 'agent',
  driver: 'tasks running on the host',
  sizes: [2, 5, 10, 20, 40],
  today: 5,
  inTwoYears: 10,
  metrics: {
    stateBytes: {unit: 'B', mechanism: 'one attempt for each task'},
    msPerSecond: {unit: 'ms/s', mechanism: 'worker read each second, ticks, usage each 5 s'},
    sentBytesPerSecond: {
      unit: 'B/s',
      mechanism: 'heartbeat each 3 s to three entries, usage of each task each 5 s to the owner',
    },
    receivedBytesPerSecond: {unit: 'B/s', mechanism: 'one grant each 3 s for the whole host'},
  },
  measure(size) {
    const {value: agent, bytes} = measureHeapBytes(() => {
      const created = new AgentTasks();
      const state = {capacity: workerCapacity, rack: 'rack', term: 1};
      created.reduce({kind: 'worker-state', ...state, tasks: createTasks(size, 0)}, 0);
      return created;
    }, stateCopies);
    const {ms, sent, received} = runAgent(agent, size);
    return {
      stateBytes: bytes,
      msPerSecond: ms / measuredSeconds,
      sentBytesPerSecond: sent / measuredSeconds,
      receivedBytesPerSecond: received / measuredSeconds,
    };
  },
};

/** Cost of an idle agent's request handling by the size of the configuration. */
export const agentWorkloads: CapacityExperiment = {
  name: 'agent exchanges by configuration',
  role: 'agent',
  driver: 'workloads in the configuration',
  sizes: [100, 1_000, 2_000, 4_000, 8_000],
  today: 100,
  inTwoYears: sizesInTwoYears.workloads,
  metrics: {
    idleMsPerSecond: {unit: 'ms/s', mechanism: 'shares of all workloads at each heartbeat'},
    sentBytesPerSecond: {unit: 'B/s', mechanism: 'a heartbeat a second to each of three entries'},
  },
  measure(size) {
    const agent = new AgentExchanges({host: 'host-0', rack: 'rack', capacity: workerCapacity});
    agent.reduce({kind: 'configuration', configuration: createConfiguration(size)}, 0);
    for (const peer of entries) {
      agent.reduce({kind: 'peer-up', peer, hello: createHello(peer, 'entry')}, 0);
    }
    const services = ['service-0'];
    const url = 'http://127.0.0.1:9000';
    let sent = 0;
    const seconds = 5;
    const ms = measureMs(() => {
      for (let at = 10; at <= seconds * 1_000; at += 10) {
        const effects =
          at % 1_000 === 0
            ? agent.reduce(
                {
                  kind: 'backend-announced',
                  url,
                  services,
                  slots: 8,
                  connections: 64,
                  draining: false,
                },
                at,
              )
            : agent.reduce({kind: 'tick'}, at);
        for (const effect of effects) {
          if (effect.kind === 'send') sent += getFrameBytes(effect.message);
        }
      }
    });
    return {idleMsPerSecond: ms / seconds, sentBytesPerSecond: sent / seconds};
  },
};
