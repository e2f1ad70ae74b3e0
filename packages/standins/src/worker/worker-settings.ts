import type {Resources} from '@chervilbeam/coordination';

/** Settings of one stand-in of a worker with its backend server. */
export interface WorkerSettings {
  /** Name of the host, as its agent has it. */
  readonly name: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly connections: number;
  /** Services that the backend server answers for. */
  readonly services: readonly string[];
  /** Address of the worker's HTTP API. */
  readonly workerListen: string;
  /** Address of the backend server. */
  readonly backendListen: string;
  /** Control address of the agent beside the backend server. */
  readonly agent: string;
  /** Run time of one item in milliseconds by workload; tasks of other workloads run until stopped. */
  readonly runTimesMs: Readonly<Record<string, number>>;
  /** Delay after which a measurement shows in the usage reports. */
  readonly usageLagMs: number;
  /** Service time of a request that asks for none. */
  readonly serviceMs: number;
}

/** Values of the settings that need not be given. */
export const workerDefaults = {
  capacity: {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8},
  connections: 64,
  runTimesMs: {},
  usageLagMs: 3000,
  serviceMs: 0,
} as const;
