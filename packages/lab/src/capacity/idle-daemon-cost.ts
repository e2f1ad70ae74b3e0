import {setTimeout as delay} from 'node:timers/promises';
import {ProcessFleet} from '../histories/processes/process-fleet.js';

/** Memory and processor time that a daemon uses without load. */
export interface IdleDaemonCost {
  readonly role: string;
  readonly residentBytes: number;
  readonly processorMsPerSecond: number;
}

interface ProcessMetrics {
  readonly process: {readonly processorMs: number; readonly residentBytes: number};
}

/** Time for the fleet to settle before the measurement. */
const settleMs = 5_000;
const measuredMs = 10_000;

/** Measures every entry and agent of an idle fleet of real processes, with three entries and three hosts. */
export async function measureIdleDaemons(): Promise<IdleDaemonCost[]> {
  const fleet = new ProcessFleet();
  try {
    await fleet.start(3, 3);
    await delay(settleMs);
    const fleetProcesses = [...fleet.entries, ...fleet.agents];
    const read = () =>
      Promise.all(
        fleetProcesses.map(
          async fleetProcess => (await fleetProcess.daemon?.get('/v1/metrics')) as ProcessMetrics,
        ),
      );
    const before = await read();
    await delay(measuredMs);
    const after = await read();
    return fleetProcesses.map((fleetProcess, i) => ({
      role: fleetProcess.settings.role,
      residentBytes: after[i]!.process.residentBytes,
      processorMsPerSecond:
        ((after[i]!.process.processorMs - before[i]!.process.processorMs) / measuredMs) * 1_000,
    }));
  } finally {
    await fleet.stop();
  }
}
