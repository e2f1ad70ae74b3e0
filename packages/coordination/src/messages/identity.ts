/** Identity of a request, assigned by the first entry that receives it. */
export interface RequestId {
  /** Incarnation of that entry, a random 48-bit integer. */
  readonly origin: number;
  /** Sequence number within the incarnation. */
  readonly sequence: number;
}

/** Returns a string usable as a map key for a request. */
export function getRequestKey(id: RequestId): string {
  return `${id.origin.toString(36)}.${id.sequence.toString(36)}`;
}

/** Returns the request id that a key was made from. */
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

/** Amounts of what a host offers or a task asks for. */
export interface Resources {
  /** Processor time in thousandths of a core. */
  readonly processors: number;
  /** Memory in megabytes. */
  readonly memoryMb: number;
  /** Whole accelerators. */
  readonly accelerators: number;
  /** Concurrent exchanges with the backend server. */
  readonly slots: number;
}
