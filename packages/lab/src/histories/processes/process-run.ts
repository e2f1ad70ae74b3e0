import {setTimeout as delay} from 'node:timers/promises';
import {applyIntent} from '@chervilbeam/standins';
import {SeededRandom} from '../../faults/kernel/seeded-random.js';
import {checkHistory} from '../check-history.js';
import type {HistoryEvent, RequestOutcome} from '../history-event.js';
import type {Violation} from '../promise.js';
import {fleetService, ProcessFleet, type FleetDaemon} from './process-fleet.js';

/** Result of a run of real processes. */
export interface ProcessRun {
  readonly seed: number;
  readonly faults: readonly string[];
  /** Processes that exited unexpectedly. */
  readonly crashes: readonly string[];
  readonly events: readonly HistoryEvent[];
  readonly violations: readonly Violation[];
}

const faultPhaseMs = 24_000;
const recoveryPhaseMs = 16_000;
const faultIntervalMs = 2_000;
const requestIntervalMs = 25;
const changeIntervalMs = 3_000;
const pollIntervalMs = 200;

const smallResources = {processors: 500, memoryMb: 500, accelerators: 0, slots: 1};
const team = {
  name: 'team',
  quota: {processors: 12_000, memoryMb: 24_000, accelerators: 0, slots: 24},
  weight: 1,
};

function createIntent(index: number): object {
  const service = {name: fleetService, team: 'team', urgency: 'urgent', grant: {slots: 4}};
  const batch = {name: `print-${index}`, team: 'team', urgency: 'normal', runTimeSeconds: 4};
  return {
    operator: 'operator',
    teams: [team],
    services: index === 0 ? [{...service, resources: smallResources, replicas: 3}] : [],
    batches: [{...batch, resources: {...smallResources, slots: 1}, tasks: 4, checkpointSeconds: 1}],
  };
}

/** Runs real daemons under kills, freezes, shutdowns, drains and store outages, and checks the recorded history. */
export async function runProcesses(seed: number): Promise<ProcessRun> {
  const fleet = new ProcessFleet();
  const random = new SeededRandom(seed);
  const faults: string[] = [];
  const end = new AbortController();
  try {
    await fleet.start(3, 3);
    const background = [pollVersions(fleet, end.signal), sendRequests(fleet, random, end.signal)];
    background.push(confirmChanges(fleet, random, end.signal));
    await delay(4_000);
    await injectFaults(fleet, new SeededRandom(seed ^ 0x5eed), faults);
    fleet.record({kind: 'faults-over'});
    await delay(recoveryPhaseMs);
    end.abort();
    await Promise.all(background);
    fleet.record({kind: 'history-ended'});
    const {events, crashes} = fleet;
    return {seed, faults, crashes, events, violations: checkHistory(events)};
  } finally {
    end.abort();
    await fleet.stop();
  }
}

async function injectFaults(
  fleet: ProcessFleet,
  random: SeededRandom,
  faults: string[],
): Promise<void> {
  const endsAt = fleet.now + faultPhaseMs;
  const pending: Array<Promise<unknown>> = [];
  const members = [...fleet.entries, ...fleet.agents];
  while (fleet.now < endsAt) {
    const member = random.pick(members);
    // Kills and freezes of daemons are listed twice so that they are chosen more often.
    const kind = random.pick([
      'kill',
      'kill',
      'freeze',
      'freeze',
      'stop',
      'worker',
      'drain',
      'store',
    ]);
    const ms = random.between(500, 4_500);
    faults.push(`${kind}@${Math.round(fleet.now)}:${member.name}`);
    pending.push(injectFault(fleet, kind, member, random.pick(fleet.agents).name, ms));
    await delay(faultIntervalMs);
  }
  await Promise.all(pending);
}

async function injectFault(
  fleet: ProcessFleet,
  kind: string,
  member: FleetDaemon,
  host: string,
  ms: number,
): Promise<void> {
  switch (kind) {
    case 'kill':
      if (member.isFrozen || member.stopping) return;
      fleet.kill(member);
      await delay(ms);
      return fleet.startDaemon(member);
    case 'freeze':
      if (member.isFrozen || member.stopping) return;
      fleet.setFrozen(member, true);
      await delay(ms);
      return fleet.setFrozen(member, false);
    case 'stop':
      if (member.isFrozen || member.stopping) return;
      await fleet.stopGracefully(member);
      await delay(500);
      return fleet.startDaemon(member);
    case 'worker':
      await fleet.killWorker(host);
      await delay(ms);
      return fleet.startWorker(host);
    case 'drain':
      await fleet.setDraining(host, true);
      await delay(5_500);
      return fleet.setDraining(host, false);
    default:
      fleet.toggleStoreOutage();
      await delay(ms);
      return fleet.toggleStoreOutage();
  }
}

async function sendRequests(
  fleet: ProcessFleet,
  random: SeededRandom,
  end: AbortSignal,
): Promise<void> {
  const open = new Set<Promise<void>>();
  for (let i = 1; !end.aborted; i++) {
    await delay(requestIntervalMs);
    const ready = fleet.entries.filter(entry => entry.daemon?.process.isRunning && !entry.stopping);
    if (ready.length === 0) continue;
    const call = submit(fleet, random.pick(ready), `q${i}`, random).finally(() =>
      open.delete(call),
    );
    open.add(call);
  }
  await Promise.all(open);
}

async function submit(
  fleet: ProcessFleet,
  entry: FleetDaemon,
  request: string,
  random: SeededRandom,
): Promise<void> {
  const idempotent = random.next() < 0.5;
  const timeoutMs = Math.round(random.between(500, 3_000));
  const serviceMs = Math.round(random.between(0, 300));
  const {name} = entry;
  const service = fleetService;
  fleet.record({kind: 'request-submitted', request, entry: name, service, idempotent, timeoutMs});
  try {
    const response = await fetch(`http://${entry.settings.listen.callers}/${service}/x`, {
      method: idempotent ? 'GET' : 'POST',
      headers: {
        'x-request-id': request,
        'x-service-ms': String(serviceMs),
        'x-answer-bytes': String(Math.round(random.between(0, 40_000))),
        'chervilbeam-timeout-ms': String(timeoutMs),
      },
      body: idempotent ? undefined : request,
      signal: AbortSignal.timeout(timeoutMs + 10_000),
    });
    const body = await response.text();
    const outcome = response.headers.get('chervilbeam-outcome') as RequestOutcome | null;
    if (!outcome) return;
    fleet.record({kind: 'request-answered', request, outcome, status: response.status, body});
  } catch {
    // The connection to the entry was lost, so the caller does not know the outcome.
    fleet.record({kind: 'request-abandoned', request});
  }
}

async function confirmChanges(
  fleet: ProcessFleet,
  random: SeededRandom,
  end: AbortSignal,
): Promise<void> {
  for (let index = 0; !end.aborted;) {
    const entry = random.pick(fleet.entries);
    try {
      const confirmed = await applyIntent(entry.settings.listen.control, createIntent(index));
      if (confirmed.outcome === 'accepted') {
        const {version = 0, changeId = ''} = confirmed;
        fleet.record({kind: 'configuration-accepted', version, changeId});
        index++;
      }
    } catch {
      // An entry that is down or cannot reach the store refuses; the next iteration tries a random entry again.
    }
    await delay(index === 0 ? 300 : changeIntervalMs);
  }
}

async function pollVersions(fleet: ProcessFleet, end: AbortSignal): Promise<void> {
  const recordedVersions = new Map<string, number>();
  while (!end.aborted) {
    await Promise.all(
      [...fleet.entries, ...fleet.agents].map(async member => {
        const process = `${member.name}#${member.life}`;
        if (member.isFrozen) return;
        const status = await Promise.race([member.daemon?.getStatus(), delay(1_000, undefined)]);
        if (!status || process !== `${member.name}#${member.life}`) return;
        if (recordedVersions.get(process) === status.version) return;
        recordedVersions.set(process, status.version);
        const {version} = status;
        // The status has no digest, so the contents of versions are not compared in these runs.
        fleet.record({kind: 'configuration-in-force', process, version, digest: `${version}`});
      }),
    );
    await delay(pollIntervalMs);
  }
}
