import type {Configuration, Hello, Resources, Team, Workload} from '@chervilbeam/coordination';

/** Sizes of the deployment expected in two years (design document, section 1) and values derived from them. */
export const sizesInTwoYears = {
  regions: 7,
  dataCentres: 24,
  hosts: 3_600,
  entries: 48,
  cells: 48,
  tasksRunning: 33_000,
  batchRunning: 19_000,
  startsPerSecond: 250,
  teams: 340,
  changesPerDay: 4_500,
  jobsPerDay: 22_000,
  /** 14,000 service tasks in services of about seven replicas, and the batch jobs of a quarter of a day. */
  workloads: 8_000,
  hostsPerCell: 75,
} as const;

/** Limits for each node (design document, section 1). */
export const nodeLimits = {coreFraction: 0.019, memoryBytes: 128e6, bytesPerSecond: 4_000} as const;

/** Capacity of a worker (design document). */
export const workerCapacity: Resources = {
  processors: 16_000,
  memoryMb: 60_000,
  accelerators: 1,
  slots: 64,
};

/** Returns the handshake message of a process. */
export function createHello(
  name: string,
  role: Hello['role'],
  dataCentre = 'dc1',
  region = 'r1',
  incarnation = 2,
): Hello {
  return {
    kind: 'hello',
    protocol: 1,
    deployment: 'capacity',
    ...{role, dataCentre, region, name, incarnation},
    purpose: 'control',
    peers: [],
    configVersion: 0,
  };
}

/** Returns a batch job with a declared run time of 76 s. */
export function createBatch(name: string, tasks: number, team = 'team-0'): Workload {
  return {
    kind: 'batch',
    name,
    team,
    urgency: 'normal',
    grant: {slots: 0, processors: 0},
    resources: {processors: 1_000, memoryMb: 3_000, accelerators: 0, slots: 1},
    tasks,
    runTimeSeconds: 76,
    checkpointSeconds: 30,
  };
}

/** Returns a service. */
export function createService(name: string, tasks: number, team = 'team-0'): Workload {
  return {
    kind: 'service',
    name,
    team,
    urgency: 'urgent',
    grant: {slots: 4, processors: 1_000},
    resources: {processors: 1_000, memoryMb: 3_000, accelerators: 0, slots: 4},
    tasks,
  };
}

/** Returns a configuration with one quarter services and three quarters batch jobs, spread over the teams. */
export function createConfiguration(workloads: number, version = 1, teams = 340): Configuration {
  const entries: Array<[string, Workload]> = [];
  for (let i = 0; i < workloads; i++) {
    const name = i % 4 === 0 ? `service-${i}` : `job-2026-12-04-${i}`;
    const team = `team-${i % teams}`;
    entries.push([name, i % 4 === 0 ? createService(name, 7, team) : createBatch(name, 20, team)]);
  }
  const quota = workerCapacity;
  const teamList: Team[] = Array.from({length: teams}, (_, i) => ({
    name: `team-${i}`,
    quota,
    weight: 1,
  }));
  return {
    version,
    workloads: new Map(entries),
    teams: new Map(teamList.map(team => [team.name, team])),
    drains: new Set(),
  };
}
