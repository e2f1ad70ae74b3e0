import type {Clock, DispatchTiming, ElectionTiming, OwnerRecord} from '@chervilbeam/coordination';
import type {Metrics} from '../../metrics/index.js';
import type {DecisionLogger} from '../decision-logger.js';
import type {EvacuationSource} from '../records/evacuation-source.js';
import type {RecordStore} from '../records/record-store.js';
import type {AdvisorPort} from './advisor-port.js';
import type {HandoverCalls} from './handover/handover-calls.js';

/** Options of `OwnerProcess`. */
export interface OwnerProcessOptions {
  readonly name: string;
  /** Address at which other processes reach this one. */
  readonly address: string;
  /** Number of processors that this process can use as the owner. */
  readonly processors: number;
  /** Largest size of the heap in bytes; by default without limit. */
  readonly heapBytes?: number;
  /** Speed of the host's network link in megabits per second; by default without limit. */
  readonly linkMegabits?: number;
  /** Identifies this incarnation of the process; a restart gets a new one. */
  readonly incarnation: string;
  readonly store: RecordStore;
  /** Absent on a platform without an advisor. */
  readonly advisor?: AdvisorPort;
  /** Absent on a platform without evacuations; sets of other entries are then ignored. */
  readonly evacuations?: EvacuationSource;
  /** Time in milliseconds within which nothing of a cancelled submission may be started any more; 3,000 by default. */
  readonly cancelBoundMs?: number;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: Metrics;
  readonly timing?: Partial<DispatchTiming>;
  readonly electionTiming?: Partial<ElectionTiming>;
  /** Returns the number of processors of each other entry; undefined until the entries have been listed. */
  readonly getOtherProcessors: () => readonly number[] | undefined;
  /** Returns the smallest round trip in milliseconds of all store calls of this process; undefined before the first one. */
  readonly getRoundTripMs?: () => number | undefined;
  /** Asks another process how long ago in milliseconds an ownership ended; undefined when that is not known. */
  readonly askOwnershipEnd: (owner: OwnerRecord) => Promise<number | undefined>;
  /** Calls of a planned handover; without them, an owner that drains only ends its ownership. */
  readonly handoverCalls?: HandoverCalls;
  /** Whether the store does not answer this process. */
  readonly isStoreFailing?: () => boolean;
  /** Called with each owner record that is read from the store; undefined when there is no owner. */
  readonly onOwner: (owner: OwnerRecord | undefined) => void;
  /** Called when this process becomes or stops being the owner. */
  readonly onOwnership: (isOwner: boolean) => void;
}
