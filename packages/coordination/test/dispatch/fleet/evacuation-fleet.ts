import type {VirtualFleetOptions} from './virtual-fleet-options.js';
import {createQueue, VirtualFleet} from './virtual-fleet.js';
import {startupMs} from './virtual-worker.js';

/** Data centres of the workers, in turn. */
export const dataCentres = ['east', 'west', 'south'] as const;

export const plainQueue = createQueue({name: 'plain', stretchFactor: 100, targetLatencyMs: 60_000});
export const advisedQueue = createQueue({
  name: 'advised',
  stretchFactor: 100,
  targetLatencyMs: 60_000,
  advice: {decisionMs: 50, perWorkerMs: 1},
});

/** Returns the name of the worker at an index, which is also its incarnation. */
export function getWorkerName(index: number): string {
  return `${dataCentres[index % dataCentres.length]}-${index}`;
}

/** A fleet with workers of 16 cores in three data centres, whose evacuations a test sets. */
export class EvacuationFleet extends VirtualFleet {
  private storeRevision = 1_000;

  constructor(workers: number, options: Partial<VirtualFleetOptions> = {}) {
    super({
      seed: 1,
      queues: [plainQueue, advisedQueue],
      workers: Array.from({length: workers}, (_, index) => ({
        agent: getWorkerName(index),
        life: `${getWorkerName(index)}@1`,
        cores: 16,
        rack: 'r0',
        dataCentre: dataCentres[index % dataCentres.length] ?? '',
      })),
      ...options,
    });
  }

  /** Tells the owner which data centres are evacuated, as its watch does. */
  evacuate(...names: readonly string[]): void {
    this.storeRevision += 1;
    const set = {revision: this.storeRevision, dataCentres: names};
    this.post({kind: 'evacuations', set});
  }

  /** Tells the owner for how many milliseconds a worker stays cold, as its agent does after a heartbeat. */
  setCold(agent: string, coldMs: number): void {
    const options = this.workers.get(agent)?.options;
    if (options === undefined) throw new RangeError(`no worker of ${agent}`);
    const {life, cores, rack, dataCentre = ''} = options;
    const worker = {
      life,
      id: life,
      service: 'service',
      dataCentre,
      rack,
      labels: ['a', rack],
      capacity: {processors: cores, memoryMb: 64_000, accelerators: 0, slots: 0},
      state: 'ready' as const,
      ...(coldMs > 0 && {coldMs}),
    };
    this.post({kind: 'message', agent, message: {kind: 'worker', worker}});
  }

  /** Returns the number of tasks of a submission that are up. */
  countUp(submission: string): number {
    const up = new Set<string>();
    for (const worker of this.workers.values()) {
      for (const {task, workedMs} of worker.runs.values()) {
        if (task.startsWith(submission) && workedMs >= startupMs) up.add(task);
      }
    }
    return up.size;
  }

  /** Returns the placements in a data centre after a time in milliseconds. */
  getPlacements(dataCentre: string, after: number) {
    return this.decisions.filter(
      ({event, worker, at}) =>
        event === 'run-placed' && at > after && worker?.startsWith(`${dataCentre}-`),
    );
  }

  /** Returns the number of runs on the workers of a data centre. */
  countRunsIn(dataCentre: string): number {
    return [...this.workers.values()]
      .filter(worker => worker.dataCentre === dataCentre)
      .reduce((sum, worker) => sum + worker.runs.size, 0);
  }
}
