import type {Workload} from '../../configuration/document.js';
import type {Resources} from '../../messages/identity.js';
import {
  addAmounts,
  copyAmounts,
  createAmounts,
  fits,
  getLimitingDimension,
  type Amounts,
} from '../amounts.js';
import type {CellHost} from '../cell/cell-host.js';
import type {CellState} from '../cell/cell-state.js';
import type {Job} from '../cell/job.js';

/** Predicts how much a batch workload disturbs the services of a host; 0 is no disturbance. */
export interface InterferenceForecast {
  getCost(host: CellHost, workload: Workload, at: number): number;
}

/** Weight of the share of a host that stays free, against the predicted disturbance. */
const packingWeight = 0.05;

/**
 * Batch tasks look at all hosts up to this number; in larger cells at the first hosts that are eligible from
 * a moving start, because looking at 3,600 hosts costs more than a slightly better one gains.
 */
const maxFullScanHosts = 256;
const maxCandidates = 32;

/** Cost of a host whose newest attempts failed; other hosts with room go first. */
const recentFailureCost = 1e9;

const zeroAmounts = createAmounts();

function isUrgent(workload: Workload): boolean {
  return workload.urgency === 'critical' || workload.urgency === 'urgent';
}

/** Whether a need is at least as large as one of those that are known. */
function isAtLeastOneOf(known: readonly Resources[], need: Resources): boolean {
  return known.some(smaller => fits(need, zeroAmounts, smaller));
}

/** Chooses hosts for tasks within one scheduling round. */
export class Placement {
  private readonly reservations = new Map<string, Amounts>();
  /** Needs without room now, and needs without room even after the attempts that are stopping have ended. */
  private readonly unplaceableNow: Resources[] = [];
  private readonly unplaceableLater: Resources[] = [];
  private readonly open: CellHost[];
  private openSet?: Set<CellHost>;
  /** Empty hosts on probation: each may run one batch task that is not urgent. */
  private readonly probation: CellHost[];

  constructor(
    private readonly state: CellState,
    private readonly at: number,
    private readonly disturbance?: InterferenceForecast,
  ) {
    const open = [...state.hosts.values()].filter(
      host => host.isReachable(at) && !state.isDrained(host) && !host.health.isSuspended(at),
    );
    this.open = open.filter(host => !host.health.isOnProbation(at));
    this.probation = open.filter(host => host.health.isOnProbation(at) && host.runs.size === 0);
  }

  /** Returns the best host with room now. */
  chooseHost(job: Job, need: Resources): CellHost | undefined {
    const {workload} = job;
    if (workload.kind === 'batch' && !isUrgent(workload)) {
      const probationIndex = this.probation.findIndex(host => this.hasRoom(host, need));
      if (probationIndex >= 0) return this.probation.splice(probationIndex, 1)[0];
    }
    if (this.isKnownUnplaceable(need)) return undefined;
    const spread = workload.kind === 'batch' ? undefined : this.createSpreadCost(job);
    let best: CellHost | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    let isUnplaceable = true;
    const count = this.open.length;
    const candidateLimit = spread || count <= maxFullScanHosts ? count : maxCandidates;
    const first = candidateLimit < count ? this.state.searchStart : 0;
    let candidates = 0;
    for (let step = 0; step < count && candidates < candidateLimit; step += 1) {
      const host = this.open[(first + step) % count];
      if (!host || !this.hasRoom(host, need)) continue;
      isUnplaceable = false;
      const failureCost = host.health.hasRecentFailures ? recentFailureCost : 0;
      const cost = failureCost + (spread ? spread(host) : this.getBatchCost(host, workload));
      if (cost < Number.POSITIVE_INFINITY) candidates += 1;
      if (cost < bestCost) {
        best = host;
        bestCost = cost;
      }
    }
    if (isUnplaceable) this.unplaceableNow.push(need);
    if (candidateLimit < count) this.state.searchStart = (first + maxCandidates) % count;
    return best;
  }

  /** Room only shrinks within a round, so a need that found none stays without, and so do larger ones. */
  private isKnownUnplaceable(need: Resources): boolean {
    return isAtLeastOneOf(this.unplaceableNow, need);
  }

  /** Returns a host that has room once the attempts that are stopping there have ended, and keeps it free. */
  reserveFreeingHost(need: Resources): boolean {
    if (isAtLeastOneOf(this.unplaceableLater, need)) return false;
    for (const host of this.open) {
      const later = copyAmounts(host.used);
      for (const run of host.runs.values()) {
        if (run.state === 'stopping' || run.state === 'settling')
          addAmounts(later, run.reserved, -1);
      }
      const promised = this.reservations.get(host.name);
      if (promised) addAmounts(later, promised);
      if (fits(host.capacity, later, need)) {
        this.reserve(host, need);
        return true;
      }
    }
    this.unplaceableLater.push(need);
    return false;
  }

  /** Keeps the host free that lacks the fewest processors; returns whether any host is large enough. */
  reserveFreestHost(need: Resources): boolean {
    let best: CellHost | undefined;
    let bestFree = Number.NEGATIVE_INFINITY;
    for (const host of this.open) {
      if (getLimitingDimension(host.capacity, need)) continue;
      const free = host.capacity.processors - host.used.processors;
      if (free <= bestFree) continue;
      best = host;
      bestFree = free;
    }
    if (best) this.reserve(best, need);
    return best !== undefined;
  }

  /** Keeps room for a task on a host for the rest of the round. */
  reserve(host: CellHost, need: Resources): void {
    const promised = this.reservations.get(host.name) ?? createAmounts();
    addAmounts(promised, need);
    this.reservations.set(host.name, promised);
  }

  /** Hosts that take new tasks. */
  get hosts(): ReadonlySet<CellHost> {
    this.openSet ??= new Set(this.open);
    return this.openSet;
  }

  private hasRoom(host: CellHost, need: Resources): boolean {
    const promised = this.reservations.get(host.name);
    if (!promised) return fits(host.capacity, host.used, need);
    const used = copyAmounts(host.used);
    addAmounts(used, promised);
    return fits(host.capacity, used, need);
  }

  private getBatchCost(host: CellHost, workload: Workload): number {
    const free = 1 - host.used.processors / Math.max(1, host.capacity.processors);
    return packingWeight * free + (this.disturbance?.getCost(host, workload, this.at) ?? 0);
  }

  /** Replicas spread over data centres, then racks, then hosts; among equals the emptiest host wins. */
  private createSpreadCost(job: Job): (host: CellHost) => number {
    const dataCentres = new Map<string, number>();
    const racks = new Map<string, number>();
    const hosts = new Map<string, number>();
    const add = (map: Map<string, number>, key: string) => map.set(key, (map.get(key) ?? 0) + 1);
    for (const run of job.runs.values()) {
      const host = this.state.hosts.get(run.host);
      if (!host) continue;
      add(dataCentres, host.place.dataCentre);
      add(racks, `${host.place.dataCentre}/${host.place.rack}`);
      add(hosts, host.name);
    }
    return host => {
      const {dataCentre, rack} = host.place;
      const load = host.used.processors / Math.max(1, host.capacity.processors);
      return (
        (dataCentres.get(dataCentre) ?? 0) * 1e8 +
        (racks.get(`${dataCentre}/${rack}`) ?? 0) * 1e4 +
        (hosts.get(host.name) ?? 0) * 10 +
        load
      );
    };
  }
}
