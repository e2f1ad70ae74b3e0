import type {RoundPolicy, Team, Workload} from '@chervilbeam/coordination';
import {RandomSource, VirtualCell} from '../../cell/index.js';
import {getQuantile} from '../../cell/quantile.js';
import type {Experiment, Measure, RunResult} from '../experiment.js';

/** Teams that share a fleet; some of them are idle at first. */
interface Scenario {
  readonly name: string;
  readonly teams: number;
  readonly hosts: number;
  readonly minutes: number;
  /** Number of teams that submit their work only at `returnAtMs`, and then reclaim the capacity that they lent. */
  readonly lateTeamCount: number;
}

const scenarios: readonly Scenario[] = [
  {name: '4 teams, one returns', teams: 4, hosts: 10, minutes: 40, lateTeamCount: 1},
  {name: '340 teams, 34 return', teams: 340, hosts: 75, minutes: 25, lateTeamCount: 34},
];

const processors = 16_000;
const taskProcessors = 1_000;
const returnAtMs = 600_000;
/** Time from the return of the late teams until the shares are measured. */
const settleMs = 240_000;

function createTeams(scenario: Scenario): Team[] {
  const total = scenario.hosts * processors;
  const share = Math.floor(total / scenario.teams / taskProcessors) * taskProcessors;
  return Array.from({length: scenario.teams}, (_, number) => ({
    name: `team-${number}`,
    quota: {
      processors: Math.max(taskProcessors, share),
      memoryMb: 1e9,
      accelerators: 0,
      slots: 1e6,
    },
    weight: 1,
  }));
}

/** Every team has more work than its quota; a quarter of the teams, none of them late, has ten times as much. */
function createWorkload(number: number, scenario: Scenario): Workload {
  const isGreedy =
    number < scenario.teams / 4 + scenario.lateTeamCount && number >= scenario.lateTeamCount;
  return {
    kind: 'batch',
    name: `work-${String.fromCharCode(97 + (number % 26))}-${number}`,
    team: `team-${number}`,
    urgency: 'normal',
    grant: {slots: 0, processors: 0},
    resources: {processors: taskProcessors, memoryMb: 500, accelerators: 0, slots: 0},
    tasks: isGreedy ? 4_000 : 400,
    runTimeSeconds: 240,
    checkpointSeconds: 10,
  };
}

interface Outcome {
  /** Lowest mean share of its quota that a team used, from `settleMs` after the late teams returned. */
  readonly lowestShare: number;
  readonly medianShare: number;
  /** Time until all late teams used 90% of their quota; 99,999 if they never did. */
  readonly returnSeconds: number;
  readonly utilization: number;
  /** Evictions per start. */
  readonly evictionsPerStart: number;
  /** Teams that used less than half of their quota on average. */
  readonly starvedTeams: number;
}

function runPolicy(seed: number, scenario: Scenario, policy: Partial<RoundPolicy>): Outcome {
  const random = new RandomSource(seed);
  const teams = createTeams(scenario);
  const quota = teams[0]?.quota.processors ?? 1;
  const itemMs = Array.from({length: 997}, () => random.logUniform(120_000, 480_000));
  const cell = new VirtualCell({
    hosts: Array.from({length: scenario.hosts}, (_, number) => ({
      name: `host-${number}`,
      dataCentre: 'west',
      rack: `rack-${Math.floor(number / 3)}`,
      capacity: {processors, memoryMb: 60_000, accelerators: 0, slots: 8},
    })),
    getBehaviour: (_workload, index) => ({
      workMs: itemMs[index % 997] ?? 240_000,
      checkpointIntervalMs: 10_000,
    }),
    scheduler: {policy},
    tickMs: 500,
  });
  const workloads = teams.map((_, number) => createWorkload(number, scenario));
  const {lateTeamCount} = scenario;
  cell.queue.after(5_000, () => cell.configure({teams, put: workloads.slice(lateTeamCount)}));
  cell.queue.after(returnAtMs, () => cell.configure({put: workloads.slice(0, lateTeamCount)}));
  const quotaShareSums = teams.map(() => 0);
  let samples = 0;
  let busy = 0;
  let returnedAt = Number.POSITIVE_INFINITY;
  const endMs = scenario.minutes * 60_000;
  cell.queue.every(5_000, () => {
    const now = cell.queue.now;
    const state = cell.scheduler.getState();
    const getQuotaShare = (number: number) => state.getUsage(`team-${number}`).processors / quota;
    let hasReturned = now >= returnAtMs;
    for (let number = 0; number < lateTeamCount; number += 1)
      hasReturned &&= getQuotaShare(number) >= 0.9;
    if (hasReturned) returnedAt = Math.min(returnedAt, now);
    if (now < returnAtMs + settleMs) return;
    samples += 1;
    teams.forEach((_, number) => {
      quotaShareSums[number] = (quotaShareSums[number] ?? 0) + getQuotaShare(number);
      busy += getQuotaShare(number) * quota;
    });
  });
  cell.runUntil(endMs);
  const shares = quotaShareSums.map(sum => sum / Math.max(1, samples));
  const {starts, evictions} = cell.scheduler.getState();
  return {
    lowestShare: Math.min(...shares),
    medianShare: getQuantile([...shares], 0.5),
    returnSeconds: Math.min(99_999, (returnedAt - returnAtMs) / 1000),
    utilization: busy / samples / (scenario.hosts * processors),
    evictionsPerStart: evictions / Math.max(1, starts),
    starvedTeams: shares.filter(share => share < 0.5).length,
  };
}

/** Scheduling policies by name: the current one and the baselines. */
const policies: ReadonlyArray<readonly [string, Partial<RoundPolicy>]> = [
  ['quotas with lending', {}],
  ['baseline quotas without eviction', {allowsEviction: false}],
  [
    'baseline first come first served',
    {order: 'arrival', usesUrgencyBands: false, appliesQuotas: false, allowsEviction: false},
  ],
];

function runScenario(seed: number, scenario: Scenario): RunResult[] {
  return policies.map(([policy, policyOptions]) => {
    const outcome = runPolicy(seed, scenario, policyOptions);
    const measures: Measure[] = [
      {name: 'lowest use of quota', unit: '', value: outcome.lowestShare, target: {atLeast: 0.85}},
      {name: 'median use of quota', unit: '', value: outcome.medianShare},
      {
        name: 'teams under half their quota',
        unit: 'teams',
        value: outcome.starvedTeams,
        target: {atMost: 0},
      },
      {name: 'returning teams have 90% after', unit: 's', value: outcome.returnSeconds},
      {name: 'use of the fleet', unit: '', value: outcome.utilization, target: {atLeast: 0.9}},
      {
        name: 'evictions / starts',
        unit: '',
        value: outcome.evictionsPerStart,
        target: {atMost: 0.1},
      },
    ];
    return {scenario: scenario.name, policy, measures};
  });
}

/** Fair shares of teams with quotas: lending idle capacity and reclaiming it. */
export const sharesExperiment: Experiment = {
  name: 'shares',
  title: 'Fair shares of teams, lending and taking back',
  seeds: [1, 2, 3],
  run: seed => scenarios.flatMap(scenario => runScenario(seed, scenario)),
};
