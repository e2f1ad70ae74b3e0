import {isRecord, ObjectReader, type Finding} from '@chervilbeam/coordination';

/** Faults that the store currently simulates. */
export interface StoreFaults {
  /** `refuse` answers every call with 503; `hang` carries no call out and never answers. */
  readonly outage: 'none' | 'refuse' | 'hang';
  /** Delay of each call in milliseconds. */
  readonly latencyMs: number;
  /** Number of further writes and lease calls that take effect but are not answered: the connection is closed. */
  readonly loseAnswers: number;
  /** Rate limit; calls above it are answered with 429. Lease calls count as writes. */
  readonly writesPerSecond: number;
  /** Rate limit; calls above it are answered with 429. Watches count as reads. */
  readonly readsPerSecond: number;
}

/** Parses a change of the faults; fields that are absent or invalid keep their value. */
export function parseStoreFaults(
  value: unknown,
  present: StoreFaults,
): {readonly faults: StoreFaults; readonly findings: readonly Finding[]} {
  const findings: Finding[] = [];
  const reader = new ObjectReader(isRecord(value) ? value : {}, 'control', '', findings);
  const getCount = (field: Exclude<keyof StoreFaults, 'outage'>, max: number, unit: string) =>
    reader.has(field) ? reader.getInteger(field, {min: 0, max}, unit) : undefined;
  const outage = reader.has('outage')
    ? reader.getWord('outage', ['none', 'refuse', 'hang'] as const)
    : undefined;
  const faults: StoreFaults = {
    outage: outage ?? present.outage,
    latencyMs: getCount('latencyMs', 60_000, 'milliseconds') ?? present.latencyMs,
    loseAnswers: getCount('loseAnswers', 1_000_000, 'answers') ?? present.loseAnswers,
    writesPerSecond: getCount('writesPerSecond', 100_000, 'writes') ?? present.writesPerSecond,
    readsPerSecond: getCount('readsPerSecond', 100_000, 'reads') ?? present.readsPerSecond,
  };
  reader.rejectUnknownFields();
  return {faults, findings};
}
