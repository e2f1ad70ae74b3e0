import {
  EntryRequests,
  type Announce,
  type Configuration,
  type EntryRequestsEffect,
  type Heartbeat,
  type Reply,
  type RequestId,
} from '@chervilbeam/coordination';
import {SeededRandom} from '../../faults/kernel/seeded-random.js';
import type {CapacityExperiment} from '../experiment.js';
import {getFrameBytes, measureHeapBytes, measureMs, passThroughCodec} from '../meters.js';
import {createConfiguration, createHello, sizesInTwoYears, workerCapacity} from '../sizes.js';

const tickIntervalMs = 10;
const secondMs = 1_000;
const measuredSeconds = 5;
const measuredRequests = 2_000;
const stateCopies = 10;
const requestsPerSecond = 600;

interface ConfiguredEntry {
  readonly entry: EntryRequests;
  readonly configuration: Configuration;
}

function createAnnounce(host: string, services: readonly string[]): Announce {
  return {
    kind: 'announce',
    host,
    rack: `rack-${host}`,
    capacity: workerCapacity,
    services,
    slots: 8,
    connections: 64,
    draining: false,
  };
}

function createHeartbeat(stamp: number, random: SeededRandom): Heartbeat {
  return {kind: 'heartbeat', stamp, configVersion: 1, inFlight: Math.floor(random.between(0, 30))};
}

/** Creates an entry with connected hosts, each of which offers `servicesPerHost` of the configured services. */
function createEntry(hosts: number, workloads: number, servicesPerHost: number): ConfiguredEntry {
  const entry = new EntryRequests({incarnation: 1, dataCentre: 'dc1', region: 'r1', seed: 1});
  const configuration = createConfiguration(workloads);
  const services = [...configuration.workloads.values()].filter(
    workload => workload.kind === 'service',
  );
  entry.reduce({kind: 'configuration', configuration}, 0);
  for (let i = 0; i < hosts; i++) {
    const peer = `host-${i}`;
    const hostServices = Array.from(
      {length: Math.min(servicesPerHost, services.length)},
      (_, k) => services[(i * servicesPerHost + k) % services.length]!.name,
    );
    entry.reduce({kind: 'peer-up', peer, hello: createHello(peer, 'agent', 'dc1', 'r1', i + 2)}, 0);
    entry.reduce({kind: 'announce', peer, message: createAnnounce(peer, hostServices)}, 0);
  }
  return {entry, configuration};
}

/** Runs an entry for `measuredSeconds` of virtual time with ticks and heartbeats only. */
function runIdle(
  entry: EntryRequests,
  hosts: number,
  random: SeededRandom,
): {ms: number; received: number; effects: EntryRequestsEffect[]} {
  let received = 0;
  const effects: EntryRequestsEffect[] = [];
  const ms = measureMs(() => {
    for (let at = tickIntervalMs; at <= measuredSeconds * secondMs; at += tickIntervalMs) {
      effects.push(...entry.reduce({kind: 'tick'}, at));
      if (at % secondMs !== 0) continue;
      for (let i = 0; i < hosts; i++) {
        const message = createHeartbeat(at, random);
        received += passThroughCodec(message);
        effects.push(...entry.reduce({kind: 'heartbeat', peer: `host-${i}`, message}, at));
      }
    }
  });
  return {ms, received, effects};
}

/** Passes requests through the reducer and the codec, each answered after 0.05 ms; returns the total milliseconds. */
function measureRequestsMs({entry, configuration}: ConfiguredEntry, from: number): number {
  const service = [...configuration.workloads.values()].find(
    workload => workload.kind === 'service',
  )!.name;
  const body = new Uint8Array(200);
  return measureMs(() => {
    for (let caller = 1; caller <= measuredRequests; caller++) {
      const at = from + caller / 10;
      const effects = entry.reduce(
        {
          kind: 'caller-request',
          caller,
          service,
          method: 'GET',
          path: '/v1/lookups/12345',
          headers: [['accept', 'application/json']],
          body: new Uint8Array(),
          timeoutMs: 10_000,
        },
        at,
      );
      for (const effect of effects) {
        if (effect.kind !== 'send' || effect.message.kind !== 'dispatch') continue;
        passThroughCodec(effect.message, effect.body);
        const {id, attempt} = effect.message;
        const message = {
          kind: 'reply',
          ...{id, attempt, status: 200, headers: [], bodyLength: body.length, credit: 32},
        } as const;
        passThroughCodec(message, body);
        entry.reduce({kind: 'message', peer: effect.peer, message, body}, at + 0.05);
      }
    }
  });
}

/** Changes the load of the services each second and returns the bytes of each summary that the entry sends. */
function runChangingLoad(entry: EntryRequests, random: SeededRandom): number[] {
  const summaries: number[] = [];
  let openRequests: Array<{peer: string; id: RequestId; attempt: number}> = [];
  let caller = 0;
  const carryOut = (effects: readonly EntryRequestsEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === 'summary') summaries.push(getFrameBytes(effect.message));
      if (effect.kind !== 'send' || effect.message.kind !== 'dispatch') continue;
      const {id, attempt} = effect.message;
      openRequests.push({peer: effect.peer, id, attempt});
    }
  };
  // The first summary lists the services. It is excluded, as only the summaries caused by load are measured.
  entry.reduce({kind: 'tick'}, 0);
  for (let at = 1_000; at <= measuredSeconds * secondMs; at += secondMs) {
    const answered = openRequests;
    openRequests = [];
    for (const {peer, id, attempt} of answered) {
      const credit = Math.floor(random.between(0, 64));
      const message = {kind: 'reply', id, attempt, status: 200, headers: [], bodyLength: 0, credit};
      carryOut(entry.reduce({kind: 'message', peer, message: message as Reply}, at));
    }
    for (let i = 0; i < requestsPerSecond; i++) {
      const service = `service-${Math.floor(random.between(0, 600)) * 4}`;
      const empty = {headers: [], body: new Uint8Array(), timeoutMs: 10_000};
      const call = {kind: 'caller-request', caller: ++caller, method: 'GET', path: '/'} as const;
      carryOut(entry.reduce({...call, service, ...empty}, at + 1 + i / 10));
    }
    carryOut(entry.reduce({kind: 'tick'}, at + 900));
  }
  return summaries;
}

/** Cost of an entry by the number of connected hosts. */
export const entryHosts: CapacityExperiment = {
  name: 'entry by connected hosts',
  role: 'entry',
  driver: 'hosts connected to the entry',
  sizes: [10, 55, 110, 220, 440],
  today: 10,
  // 514 hosts in a region with three connections each, shared by the seven entries of the region.
  inTwoYears: 220,
  metrics: {
    stateBytes: {unit: 'B', mechanism: 'a host view with its learned limit for each connection'},
    idleMsPerSecond: {
      unit: 'ms/s',
      mechanism: 'ticks each 10 ms and one heartbeat a second a host',
    },
    receivedBytesPerSecond: {unit: 'B/s', mechanism: 'one heartbeat a second from each host'},
    requestUs: {unit: 'µs', mechanism: 'choice of the host, dispatch and reply through the codec'},
  },
  measure(size, seed) {
    const {value, bytes} = measureHeapBytes(() => createEntry(size, 80, 4), stateCopies);
    const {ms, received} = runIdle(value.entry, size, new SeededRandom(seed + 1));
    const requestMs = measureRequestsMs(value, (measuredSeconds + 1) * secondMs);
    return {
      stateBytes: bytes,
      idleMsPerSecond: ms / measuredSeconds,
      receivedBytesPerSecond: received / measuredSeconds,
      requestUs: (requestMs / measuredRequests) * 1_000,
    };
  },
};

/** Cost of an entry by the number of workloads in the configuration. */
export const entryWorkloads: CapacityExperiment = {
  name: 'entry requests by configuration',
  role: 'entry',
  driver: 'workloads in the configuration',
  sizes: [100, 1_000, 2_000, 4_000, 8_000],
  today: 100,
  inTwoYears: sizesInTwoYears.workloads,
  metrics: {
    idleMsPerSecond: {
      unit: 'ms/s',
      mechanism: 'shares of all workloads are computed again every 200 ms',
    },
    requestUs: {unit: 'µs', mechanism: 'look-up of the workload and pump of the queue'},
  },
  measure(size, seed) {
    const configuredEntry = createEntry(20, size, 50);
    const {ms} = runIdle(configuredEntry.entry, 20, new SeededRandom(seed + 1));
    const requestMs = measureRequestsMs(configuredEntry, (measuredSeconds + 1) * secondMs);
    return {
      idleMsPerSecond: ms / measuredSeconds,
      requestUs: (requestMs / measuredRequests) * 1_000,
    };
  },
};

/** Bytes of the summaries that an entry sends to all other entries as the load changes, by the number of entries. */
export const entryMesh: CapacityExperiment = {
  name: 'summaries by entries',
  role: 'entry',
  driver: 'entries in the mesh',
  sizes: [3, 12, 24, 48, 96],
  today: 3,
  inTwoYears: sizesInTwoYears.entries,
  metrics: {
    summaryBytes: {
      unit: 'B',
      mechanism: 'one line for each service of the data centre, sent whole to a new peer',
    },
    sentBytesPerSecond: {
      unit: 'B/s',
      mechanism: 'changes of hosts and slots to every entry; none while only the load changes',
    },
  },
  measure(size, seed) {
    // 150 hosts and about 580 services in each data centre.
    const {entry} = createEntry(150, 2_400, 8);
    for (let i = 1; i < size; i++) {
      const peer = `entry-${i}`;
      const dataCentre = `dc${i >> 1}`;
      entry.reduce(
        {
          kind: 'peer-up',
          peer,
          hello: createHello(peer, 'entry', dataCentre, `r${i % 7}`, 1_000 + i),
        },
        0,
      );
    }
    const summaries = runChangingLoad(entry, new SeededRandom(seed + 1));
    const total = summaries.reduce((sum, bytes) => sum + bytes, 0);
    return {
      summaryBytes: getFrameBytes(entry.getSummary()),
      sentBytesPerSecond: (total * (size - 1)) / measuredSeconds,
    };
  },
};

/** Size and rate of an entry's summaries by the number of services in its data centre. */
export const summaryServices: CapacityExperiment = {
  name: 'summary by services',
  role: 'link',
  driver: 'services in the data centre, a load that changes each second',
  sizes: [5, 50, 150, 300, 600],
  today: 5,
  // 14,000 service tasks in services of seven replicas over 24 data centres, each replica in a different one.
  inTwoYears: 580,
  metrics: {
    summaryBytes: {
      unit: 'B',
      mechanism: 'one line with the whole name for each service, sent whole to a new peer',
    },
    summariesPerSecond: {
      unit: '1/s',
      mechanism: 'on a change of hosts or slots, at most one a second',
    },
  },
  measure(size, seed) {
    const {entry} = createEntry(150, size * 4, 8);
    const peer = 'entry-1';
    entry.reduce({kind: 'peer-up', peer, hello: createHello(peer, 'entry', 'dc2', 'r2', 1_000)}, 0);
    const summaries = runChangingLoad(entry, new SeededRandom(seed + 1));
    return {
      summaryBytes: getFrameBytes(entry.getSummary()),
      summariesPerSecond: summaries.length / measuredSeconds,
    };
  },
};
