import {err, ok, type Result} from 'neverthrow';
import type {Finding} from '../../findings/finding.js';
import {isRecord, renderValue} from '../../findings/object-reader.js';

/** Ledger entry of an opened workload. No task of a workload starts before this entry is in the store. */
export interface LedgerWorkload {
  /** Finished items as a hexadecimal bitmap, four items a digit, lowest first. */
  readonly finished: string;
  /** True when every item is finished; the bitmap is then empty. */
  readonly done: boolean;
}

/** Ledger entry of an unfinished task. */
export interface LedgerTask {
  readonly checkpoint?: string;
  /** Number of the attempt that reported last. */
  readonly attempt: number;
  readonly evictions: number;
}

/** Value of the store key `cell/<name>/ledger`. */
export interface LedgerRecord {
  readonly format: 1;
  /** Term of the owner that wrote the record. */
  readonly term: number;
  /** Number of the write within the term; shows a writer whether a write without an answer took effect. */
  readonly sequence: number;
  readonly workloads: Readonly<Record<string, LedgerWorkload>>;
  readonly tasks: Readonly<Record<string, LedgerTask>>;
}

/** Validates a value read from the store; returns one finding for each invalid field. */
export function parseLedgerRecord(value: unknown): Result<LedgerRecord, Finding[]> {
  const findings: Finding[] = [];
  const reject = (place: string, found: unknown, allowed: string) =>
    findings.push({source: 'ledger', place, value: renderValue(found), allowed});
  if (!isRecord(value)) {
    reject('', value, 'an object');
    return err(findings);
  }
  if (value['format'] !== 1) reject('format', value['format'], '1');
  for (const field of ['term', 'sequence']) {
    if (!Number.isSafeInteger(value[field])) reject(field, value[field], 'an integer');
  }
  const {workloads, tasks} = value;
  if (!isRecord(workloads)) {
    reject('workloads', workloads, 'an object');
  } else {
    for (const [name, workload] of Object.entries(workloads)) {
      const valid =
        isRecord(workload) &&
        typeof workload['done'] === 'boolean' &&
        typeof workload['finished'] === 'string' &&
        /^[0-9a-f]*$/.test(workload['finished']);
      if (!valid) reject(`workloads.${name}`, workload, '{finished: hexadecimal, done: boolean}');
    }
  }
  if (!isRecord(tasks)) {
    reject('tasks', tasks, 'an object');
  } else {
    for (const [name, task] of Object.entries(tasks)) {
      const valid =
        isRecord(task) &&
        Number.isSafeInteger(task['evictions']) &&
        Number.isSafeInteger(task['attempt']) &&
        (task['checkpoint'] === undefined || typeof task['checkpoint'] === 'string');
      if (!valid)
        reject(
          `tasks.${name}`,
          task,
          '{checkpoint?: string, attempt: integer, evictions: integer}',
        );
    }
  }
  return findings.length > 0 ? err(findings) : ok(value as unknown as LedgerRecord);
}
