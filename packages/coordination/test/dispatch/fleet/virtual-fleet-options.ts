import type {DispatchTiming} from '../../../src/dispatch/index.js';
import type {Queue, Submission} from '../../../src/submissions/index.js';
import type {TaskBehaviour, VirtualWorkerOptions} from './virtual-worker.js';

/** Messages that a silent link holds back; those of an agent are replaced by its next list. */
export type Silence = 'from-agent' | 'to-agent' | 'both';

/** Options of `VirtualFleet`. */
export interface VirtualFleetOptions {
  readonly seed: number;
  readonly queues: readonly Queue[];
  readonly workers: readonly VirtualWorkerOptions[];
  readonly getBehaviour?: (task: string, submission: Submission) => Partial<TaskBehaviour>;
  readonly getLoad?: (submission: Submission, at: number, task: string) => number;
  readonly getPressure?: (serving: string, filling: string) => number;
  readonly timing?: Partial<DispatchTiming>;
}
