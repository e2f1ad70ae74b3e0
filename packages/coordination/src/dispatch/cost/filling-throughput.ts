/** Time in milliseconds over which the throughput is averaged. */
const memoryMs = 10_000;

/** Time in milliseconds with waiting work from which the measured throughput is used. */
const minMeasuredMs = 2_000;

interface Measurement {
  /** Processor time in core-milliseconds of finished tasks since the latest sample. */
  recentCoreMs: number;
  /** Finished processor time, and the time that it took; older ones are forgotten exponentially. */
  coreMs: number;
  ms: number;
  sampledAt: number;
  wasSaturated: boolean;
}

/**
 * Measures the processors that filling tasks of each service really get, by the estimated work of those that finish. Only
 * time during which filling tasks wait for room counts; otherwise the throughput is that of the load. A large task counts
 * when it finishes, so the average is taken over several task lengths.
 */
export class FillingThroughput {
  private readonly services = new Map<string, Measurement>();

  /** Records the estimated work of a finished filling task in core-milliseconds. */
  recordFinished(service: string, coreMs: number): void {
    const measurement = this.services.get(service);
    if (measurement) measurement.recentCoreMs += coreMs;
  }

  /** Records whether filling tasks wait for room now. */
  sample(service: string, isSaturated: boolean, at: number): void {
    const measurement = this.services.get(service);
    if (measurement === undefined) {
      const empty = {recentCoreMs: 0, coreMs: 0, ms: 0};
      this.services.set(service, {...empty, sampledAt: at, wasSaturated: isSaturated});
      return;
    }
    const elapsedMs = at - measurement.sampledAt;
    if (elapsedMs > 0 && isSaturated && measurement.wasSaturated) {
      const kept = Math.exp(-elapsedMs / memoryMs);
      measurement.coreMs = measurement.coreMs * kept + measurement.recentCoreMs;
      measurement.ms = measurement.ms * kept + elapsedMs;
    }
    measurement.recentCoreMs = 0;
    measurement.sampledAt = at;
    measurement.wasSaturated = isSaturated;
  }

  /** Returns the measured processors, or undefined when too little has been measured. */
  getCores(service: string): number | undefined {
    const measurement = this.services.get(service);
    if (measurement === undefined || measurement.ms < minMeasuredMs) return undefined;
    return measurement.coreMs / measurement.ms;
  }

  /** Forgets all measurements. */
  clear(): void {
    this.services.clear();
  }
}
