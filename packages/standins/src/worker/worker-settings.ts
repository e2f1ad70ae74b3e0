import type {Resources} from '@chervilbeam/coordination';

/** Settings of one stand-in worker and its backend server. */
export interface WorkerSettings {
  /** Name of the host, the same as in the settings of its agent. */
  readonly name: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Number of connections announced for the backend server. */
  readonly connections: number;
  /** Services announced for the backend server. */
  readonly services: readonly string[];
  /** Address of the worker's HTTP API. */
  readonly workerListen: string;
  /** Address of the backend server. */
  readonly backendListen: string;
  /** Origin of the control port of the agent on the same host, `http://ip:port`. */
  readonly agent: string;
  /** Run time of one task in milliseconds by workload; tasks of other workloads run until they are stopped. */
  readonly runTimesMs: Readonly<Record<string, number>>;
  /** Delay in milliseconds until a measurement appears in the usage reports. */
  readonly usageLagMs: number;
  /** Service time in milliseconds of a request without an `x-service-ms` header. */
  readonly serviceMs: number;
}

/** Defaults of the optional settings. */
export const workerDefaults = {
  capacity: {processors: 16_000, memoryMb: 60_000, accelerators: 0, slots: 8},
  connections: 64,
  runTimesMs: {},
  usageLagMs: 3000,
  serviceMs: 0,
} as const;
