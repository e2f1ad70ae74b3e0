import type {WorkerView} from '../worker-view.js';

interface RankedWorker {
  readonly worker: WorkerView;
  readonly cost: number;
  /** Position in the list from which the ranking was made; decides between equal costs. */
  readonly position: number;
}

/** Returns the cost of a worker for a task, or undefined when the worker is not eligible. */
export type WorkerCost = (worker: WorkerView) => number | undefined;

/**
 * The eligible workers of one step in order of cost. The tasks of a wide step share a ranking within a placement round,
 * so that each of them examines a few workers instead of all.
 */
export class WorkerRanking {
  /** In descending order, so that the best worker is removed without moving the others. */
  private readonly ranked: RankedWorker[] = [];
  private readonly positions: ReadonlyMap<WorkerView, number>;
  /** Workers on which a task was placed, which can lower their cost. */
  private readonly changed = new Set<WorkerView>();

  constructor(workers: readonly WorkerView[], getCost: WorkerCost) {
    this.positions = new Map(workers.map((worker, position) => [worker, position]));
    workers.forEach((worker, position) => {
      const cost = getCost(worker);
      if (cost !== undefined) this.ranked.push({worker, cost, position});
    });
    this.ranked.sort((a, b) => compare(b, a));
  }

  /** Records that a task was placed on a worker. */
  markChanged(worker: WorkerView): void {
    if (this.positions.has(worker)) this.changed.add(worker);
  }

  /** Returns the best worker for another task of the step, or undefined when none is eligible any more. */
  getBest(getCost: WorkerCost): WorkerView | undefined {
    for (const worker of this.changed) this.rankAgain(worker, getCost);
    this.changed.clear();
    for (let best = this.ranked.at(-1); best !== undefined; best = this.ranked.at(-1)) {
      const cost = getCost(best.worker);
      if (cost === best.cost) return best.worker;
      // What other workers run can raise the cost of this one as well.
      this.ranked.pop();
      if (cost !== undefined) this.insert({...best, cost});
    }
    return undefined;
  }

  private rankAgain(worker: WorkerView, getCost: WorkerCost): void {
    const index = this.ranked.findLastIndex(entry => entry.worker === worker);
    if (index >= 0) this.ranked.splice(index, 1);
    const cost = getCost(worker);
    const position = this.positions.get(worker);
    if (cost !== undefined && position !== undefined) this.insert({worker, cost, position});
  }

  private insert(entry: RankedWorker): void {
    let low = 0;
    let high = this.ranked.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.ranked[middle];
      if (other !== undefined && compare(other, entry) > 0) low = middle + 1;
      else high = middle;
    }
    this.ranked.splice(low, 0, entry);
  }
}

function compare(a: RankedWorker, b: RankedWorker): number {
  return a.cost - b.cost || a.position - b.position;
}
