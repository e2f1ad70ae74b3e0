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

/** Predicts the interference of batch workloads with services. */
export interface InterferenceForecast {
  /** Cost of a task of the workload on a host; 0 without interference, infinite when it may not run there. */
  getCost(host: CellHost, workload: Workload, at: number): number;
}

/** Weight of a host's free fraction against the predicted interference; small, so that packing breaks near-ties. */
const packingWeight = 0.05;

/**
 * Batch tasks are compared on all hosts of a cell with at most `maxFullScanHosts`. In larger cells only the first
 * `maxCandidates` eligible hosts from a rotating start are compared, because scanning 3,600 hosts costs more than a
 * slightly better host gains.
 */
const maxFullScanHosts = 256;
const maxCandidates = 32;

/** Cost added to a host whose latest attempts failed, so that any other host with room is preferred. */
const recentFailureCost = 1e9;

const zeroAmounts = createAmounts();

function isUrgent(workload: Workload): boolean {
  return workload.urgency === 'critical' || workload.urgency === 'urgent';
}

/** Whether `need` is at least as large as one of `needs` in every dimension. */
function isAtLeastAsLargeAsAny(needs: readonly Resources[], need: Resources): boolean {
  return needs.some(smaller => fits(need, zeroAmounts, smaller));
}

/** Chooses hosts for tasks in one scheduling round. */
export class Placement {
  /** Amounts kept free on a host for tasks that cannot start yet, by host name. */
  private readonly reservations = new Map<string, Amounts>();
  /** Needs that fit on no host now, and needs that fit on none even after the stopping attempts have ended. */
  private readonly unplaceableNow: Resources[] = [];
  private readonly unplaceableLater: Resources[] = [];
  /** Hosts that accept new tasks, without those on probation. */
  private readonly availableHosts: CellHost[];
  private availableHostSet?: Set<CellHost>;
  /** Empty hosts on probation; each may run one non-urgent batch task as a trial. */
  private readonly probationHosts: CellHost[];

  constructor(
    private readonly state: CellState,
    private readonly at: number,
    private readonly interference?: InterferenceForecast,
  ) {
    const eligible = [...state.hosts.values()].filter(
      host => host.isReachable(at) && !state.isDrained(host) && !host.health.isSuspended(at),
    );
    this.availableHosts = eligible.filter(host => !host.health.isOnProbation(at));
    this.probationHosts = eligible.filter(
      host => host.health.isOnProbation(at) && host.runs.size === 0,
    );
  }

  /** Returns the host with the lowest cost among those with room now; undefined when there is none with a finite cost. */
  chooseHost(job: Job, need: Resources): CellHost | undefined {
    const {workload} = job;
    if (workload.kind === 'batch' && !isUrgent(workload)) {
      const probationIndex = this.probationHosts.findIndex(host => this.hasRoom(host, need));
      if (probationIndex >= 0) return this.probationHosts.splice(probationIndex, 1)[0];
    }
    if (this.isKnownUnplaceable(need)) return undefined;
    const getSpreadCost = workload.kind === 'batch' ? undefined : this.createSpreadCost(job);
    let best: CellHost | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    let hasFoundNone = true;
    const count = this.availableHosts.length;
    const candidateLimit = getSpreadCost || count <= maxFullScanHosts ? count : maxCandidates;
    const first = candidateLimit < count ? this.state.searchStart : 0;
    let candidates = 0;
    for (let step = 0; step < count && candidates < candidateLimit; step += 1) {
      const host = this.availableHosts[(first + step) % count];
      if (!host || !this.hasRoom(host, need)) continue;
      hasFoundNone = false;
      const failureCost = host.health.hasRecentFailures ? recentFailureCost : 0;
      const cost =
        failureCost + (getSpreadCost ? getSpreadCost(host) : this.getBatchCost(host, workload));
      if (cost < Number.POSITIVE_INFINITY) candidates += 1;
      if (cost < bestCost) {
        best = host;
        bestCost = cost;
      }
    }
    if (hasFoundNone) this.unplaceableNow.push(need);
    if (candidateLimit < count) this.state.searchStart = (first + maxCandidates) % count;
    return best;
  }

  /** Free resources only shrink within a round, so a need that did not fit will not fit later, nor will a larger one. */
  private isKnownUnplaceable(need: Resources): boolean {
    return isAtLeastAsLargeAsAny(this.unplaceableNow, need);
  }

  /** Reserves room on a host where the task fits once the stopping attempts have ended; returns whether there is one. */
  reserveFreeingHost(need: Resources): boolean {
    if (isAtLeastAsLargeAsAny(this.unplaceableLater, need)) return false;
    for (const host of this.availableHosts) {
      const usedLater = copyAmounts(host.used);
      for (const run of host.runs.values()) {
        if (run.state === 'stopping' || run.state === 'settling')
          addAmounts(usedLater, run.reserved, -1);
      }
      const reserved = this.reservations.get(host.name);
      if (reserved) addAmounts(usedLater, reserved);
      if (fits(host.capacity, usedLater, need)) {
        this.reserve(host, need);
        return true;
      }
    }
    this.unplaceableLater.push(need);
    return false;
  }

  /** Reserves room on the large enough host with the most free processors; returns whether there is one. */
  reserveFreestHost(need: Resources): boolean {
    let best: CellHost | undefined;
    let bestFree = Number.NEGATIVE_INFINITY;
    for (const host of this.availableHosts) {
      if (getLimitingDimension(host.capacity, need)) continue;
      const free = host.capacity.processors - host.used.processors;
      if (free <= bestFree) continue;
      best = host;
      bestFree = free;
    }
    if (best) this.reserve(best, need);
    return best !== undefined;
  }

  /** Keeps resources of a host free for the rest of the round. */
  reserve(host: CellHost, need: Resources): void {
    const reserved = this.reservations.get(host.name) ?? createAmounts();
    addAmounts(reserved, need);
    this.reservations.set(host.name, reserved);
  }

  /** Hosts that accept new tasks, without those on probation. */
  get hosts(): ReadonlySet<CellHost> {
    this.availableHostSet ??= new Set(this.availableHosts);
    return this.availableHostSet;
  }

  private hasRoom(host: CellHost, need: Resources): boolean {
    const reserved = this.reservations.get(host.name);
    if (!reserved) return fits(host.capacity, host.used, need);
    const used = copyAmounts(host.used);
    addAmounts(used, reserved);
    return fits(host.capacity, used, need);
  }

  private getBatchCost(host: CellHost, workload: Workload): number {
    const free = 1 - host.used.processors / Math.max(1, host.capacity.processors);
    return packingWeight * free + (this.interference?.getCost(host, workload, this.at) ?? 0);
  }

  /**
   * Returns a cost function that spreads replicas over data centres, then racks, then hosts. Ties go to the host with
   * the lowest processor utilization.
   */
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
      const utilization = host.used.processors / Math.max(1, host.capacity.processors);
      return (
        (dataCentres.get(dataCentre) ?? 0) * 1e8 +
        (racks.get(`${dataCentre}/${rack}`) ?? 0) * 1e4 +
        (hosts.get(host.name) ?? 0) * 10 +
        utilization
      );
    };
  }
}
