/** Identity of a request, assigned by the first entry that receives it. */
export interface RequestId {
  /** Incarnation of the entry, a random 48-bit integer. */
  readonly origin: number;
  /** Sequence number of the request within the incarnation. */
  readonly sequence: number;
}

/** Returns a unique string for a request id, usable as a map key. */
export function getRequestKey(id: RequestId): string {
  return `${id.origin.toString(36)}.${id.sequence.toString(36)}`;
}

/** Returns the request id of a key that `getRequestKey` has returned. */
export function parseRequestKey(key: string): RequestId {
  const [origin = '', sequence = ''] = key.split('.');
  return {origin: parseInt(origin, 36), sequence: parseInt(sequence, 36)};
}

/** Role of a process. */
export type Role = 'entry' | 'agent';

/** Urgency of work, highest first. */
export type Urgency = 'critical' | 'urgent' | 'normal' | 'background';

/** All urgencies, highest first; the index is the level on the wire. */
export const urgencies: readonly Urgency[] = ['critical', 'urgent', 'normal', 'background'];

/** Kind of a workload. */
export type WorkloadKind = 'service' | 'batch' | 'watch';

/** Amounts of resources that a host offers or a task requests. */
export interface Resources {
  /** Processor time in thousandths of a core. */
  readonly processors: number;
  /** Memory in megabytes. */
  readonly memoryMb: number;
  /** Whole accelerators. */
  readonly accelerators: number;
  /** Concurrent requests to the backend server. */
  readonly slots: number;
}
