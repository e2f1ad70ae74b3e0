import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {MetricsSnapshot} from '@chervilbeam/runtime';
import {
  applyIntent,
  DaemonProcess,
  allocatePorts,
  LoadGenerator,
  type LoadResult,
  ManagedProcess,
  StoreServer,
  waitUntil,
  workerDefaults,
} from '@chervilbeam/standins';

const warmUpMs = 2000;
const roundMs = 1500;
const roundCount = 5;
const connections = 32;
/** More slots than hosts have today, so that the data path and not admission control limits the throughput. */
const slots = 64;
const service = 'lookup';
const place = {deployment: 'measure', region: 'here', dataCentre: 'here-1'};
const workerModule = fileURLToPath(
  new URL('worker/main.js', import.meta.resolve('@chervilbeam/standins')),
);
const intent = {
  operator: 'Measurement',
  teams: [{name: 'team', quota: {processors: 16000, memoryMb: 60000, slots}, weight: 1}],
  services: [
    {
      name: service,
      team: 'team',
      urgency: 'critical',
      grant: {slots},
      resources: {processors: 1000, memoryMb: 512, slots: 1},
      replicas: 1,
    },
  ],
};

/** Running processes, and load generators that reach the backend server directly or through the entry and agent. */
interface Bench {
  readonly entry: DaemonProcess;
  readonly agent: DaemonProcess;
  readonly direct: LoadGenerator;
  readonly proxied: LoadGenerator;
  readonly directSingle: LoadGenerator;
  readonly proxiedSingle: LoadGenerator;
  stop(): Promise<void>;
}

/** Results of one round; `single` fields use one connection, `half` fields half of the peak rate. */
interface Round {
  readonly directPeak: LoadResult;
  readonly peak: LoadResult;
  readonly directHalf: LoadResult;
  readonly half: LoadResult;
  readonly directSingle: LoadResult;
  readonly single: LoadResult;
  /** Processor time per answer at the peak rate. */
  readonly entryMicroseconds: number;
  readonly agentMicroseconds: number;
}

/**
 * Compares callers that go through an entry and an agent with callers that connect to the same backend server
 * directly. Both alternate in short rounds and medians are reported, because other load on the machine distorts
 * single rounds. Prints the results and writes them to `output/measure/data-path.json`.
 */
export async function measureDataPath(): Promise<void> {
  const bench = await startBench();
  try {
    await bench.proxied.runClosedLoop(warmUpMs);
    await bench.direct.runClosedLoop(warmUpMs);
    const rounds: Round[] = [];
    for (let i = 0; i < roundCount; i++) rounds.push(await runRound(bench));
    const summary = summarize(rounds);
    for (const [name, value] of Object.entries(summary)) {
      console.log(`${name.padEnd(24)} ${value.toFixed(3)}`);
    }
    mkdirSync(join('output', 'measure'), {recursive: true});
    const text = JSON.stringify({figures: summary, rounds}, undefined, 2);
    writeFileSync(join('output', 'measure', 'data-path.json'), text);
  } finally {
    await bench.stop();
  }
}

async function runRound(bench: Bench): Promise<Round> {
  const {entry, agent, direct, proxied, directSingle, proxiedSingle} = bench;
  const directPeak = await direct.runClosedLoop(roundMs);
  const entryProcessorMsBefore = await getProcessorMs(entry);
  const agentProcessorMsBefore = await getProcessorMs(agent);
  const peak = await proxied.runClosedLoop(roundMs);
  const entryProcessorMs = (await getProcessorMs(entry)) - entryProcessorMsBefore;
  const agentProcessorMs = (await getProcessorMs(agent)) - agentProcessorMsBefore;
  const halfPeakRate = peak.throughput / 2;
  return {
    directPeak,
    peak,
    directHalf: await direct.runOpenLoop(roundMs, halfPeakRate),
    half: await proxied.runOpenLoop(roundMs, halfPeakRate),
    directSingle: await directSingle.runClosedLoop(roundMs),
    single: await proxiedSingle.runClosedLoop(roundMs),
    entryMicroseconds: (entryProcessorMs / peak.answered) * 1000,
    agentMicroseconds: (agentProcessorMs / peak.answered) * 1000,
  };
}

function summarize(rounds: readonly Round[]): Readonly<Record<string, number>> {
  const getMedian = (getValue: (round: Round) => number) => {
    const values = rounds.map(getValue).sort((a, b) => a - b);
    return values[Math.floor(values.length / 2)] ?? 0;
  };
  return {
    'direct/s': getMedian(r => r.directPeak.throughput),
    'through/s': getMedian(r => r.peak.throughput),
    ratio: getMedian(r => r.peak.throughput / r.directPeak.throughput),
    'entry us': getMedian(r => r.entryMicroseconds),
    'agent us': getMedian(r => r.agentMicroseconds),
    'ratio per entry core': getMedian(r => 1e6 / r.entryMicroseconds / r.directPeak.throughput),
    'half load direct p50 ms': getMedian(r => r.directHalf.p50Ms),
    'half load direct p99 ms': getMedian(r => r.directHalf.p99Ms),
    'half load added p50 ms': getMedian(r => r.half.p50Ms - r.directHalf.p50Ms),
    'half load added p99 ms': getMedian(r => r.half.p99Ms - r.directHalf.p99Ms),
    'half load added p99.9 ms': getMedian(r => r.half.p999Ms - r.directHalf.p999Ms),
    'one caller added p50 ms': getMedian(r => r.single.p50Ms - r.directSingle.p50Ms),
    'one caller added p99 ms': getMedian(r => r.single.p99Ms - r.directSingle.p99Ms),
    'one caller added p99.9 ms': getMedian(r => r.single.p999Ms - r.directSingle.p999Ms),
    failed: rounds.reduce((n, r) => n + r.peak.failed + r.half.failed + r.single.failed, 0),
  };
}

async function getProcessorMs(daemon: DaemonProcess): Promise<number> {
  return ((await daemon.get('/v1/metrics')) as MetricsSnapshot).process.processorMs;
}

async function startBench(): Promise<Bench> {
  const ports = (await allocatePorts(6)).map(port => `127.0.0.1:${port}`);
  const [callers, peers, entryControl, agentControl, workerListen, backendListen] = ports as [
    string,
    string,
    string,
    string,
    string,
    string,
  ];
  const storeServer = new StoreServer();
  const store = await storeServer.listen();
  const worker = new ManagedProcess({
    name: 'worker',
    module: workerModule,
    arguments: [
      JSON.stringify({
        ...workerDefaults,
        capacity: {...workerDefaults.capacity, slots},
        name: 'host-1',
        rack: 'rack-1',
        services: [service],
        workerListen,
        backendListen,
        agent: `http://${agentControl}`,
      }),
    ],
  });
  const entry = new DaemonProcess({
    ...place,
    role: 'entry',
    name: 'entry-1',
    listen: {callers, peers, control: entryControl},
    seeds: [],
    store,
    cells: ['main'],
    settleMs: 0,
    logLevel: 'error',
  });
  const agent = new DaemonProcess({
    ...place,
    role: 'agent',
    name: 'host-1',
    listen: {control: agentControl},
    seeds: [peers],
    worker: `http://${workerListen}`,
    logLevel: 'error',
  });
  await entry.waitForPeers(1);
  await waitUntil('intent confirmed', async () => {
    try {
      return (await applyIntent(entryControl, intent)).outcome === 'accepted';
    } catch {
      return false;
    }
  });
  const direct = new LoadGenerator(`http://${backendListen}`, '/items/1', connections);
  const proxied = new LoadGenerator(`http://${callers}`, `/${service}/items/1`, connections);
  await waitUntil('service served', async () => (await proxied.runClosedLoop(50)).answered > 0);
  const directSingle = new LoadGenerator(`http://${backendListen}`, '/items/1', 1);
  const proxiedSingle = new LoadGenerator(`http://${callers}`, `/${service}/items/1`, 1);
  const stop = async () => {
    await Promise.all([
      directSingle.stop(),
      proxiedSingle.stop(),
      direct.stop(),
      proxied.stop(),
      entry.stop(),
      agent.stop(),
    ]);
    worker.signal('SIGTERM');
    await worker.exited;
    await storeServer.close();
  };
  return {entry, agent, direct, proxied, directSingle, proxiedSingle, stop};
}
