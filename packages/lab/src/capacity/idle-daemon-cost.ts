import {setTimeout as delay} from 'node:timers/promises';
import {ProcessFleet} from '../histories/processes/process-fleet.js';

/** What a daemon takes without any load. */
export interface IdleDaemonCost {
  readonly role: string;
  readonly residentBytes: number;
  readonly processorMsPerSecond: number;
}

interface ProcessMetrics {
  readonly process: {readonly processorMs: number; readonly residentBytes: number};
}

const settleMs = 5_000;
const measuredMs = 10_000;

/** Measures an idle entry and an idle agent of a fleet of three entries and three hosts. */
export async function measureIdleDaemons(): Promise<IdleDaemonCost[]> {
  const fleet = new ProcessFleet();
  try {
    await fleet.start(3, 3);
    await delay(settleMs);
    const parts = [...fleet.entries, ...fleet.agents];
    const read = () =>
      Promise.all(
        parts.map(async part => (await part.daemon?.get('/v1/metrics')) as ProcessMetrics),
      );
    const before = await read();
    await delay(measuredMs);
    const after = await read();
    return parts.map((part, i) => ({
      role: part.settings.role,
      residentBytes: after[i]!.process.residentBytes,
      processorMsPerSecond:
        ((after[i]!.process.processorMs - before[i]!.process.processorMs) / measuredMs) * 1_000,
    }));
  } finally {
    await fleet.stop();
  }
}
