import {DecisionLogger} from '../../src/dispatch/index.js';
import type {Logger} from '../../src/logs/index.js';

/** Creates a logger that collects its lines in memory. */
export function createTestLog(): {log: DecisionLogger; lines: Array<Record<string, unknown>>} {
  const lines: Array<Record<string, unknown>> = [];
  const write = (fields: Record<string, unknown>) => void lines.push(fields);
  const log = new DecisionLogger({info: write, warn: write} as unknown as Logger);
  return {log, lines};
}
