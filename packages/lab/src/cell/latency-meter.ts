import type {Usage} from '@chervilbeam/coordination';
import type {RandomSource} from './random-source.js';
import type {VirtualTask, VirtualWorker} from './virtual-worker.js';

/** How co-located tasks affect the latency of services, and how that latency is measured. */
export interface LatencyModel {
  /** True ratio of the latency of a service task to its latency when it runs alone on the worker. */
  getRatio(task: VirtualTask, running: readonly VirtualTask[]): number;
  /** Age of the newest sample that a measurement includes; simulates late reports. */
  readonly lagMs: number;
  /** Length of the window over which a measurement averages. */
  readonly windowMs: number;
  /** Standard deviation of the noise on the logarithm of a measured ratio. */
  readonly noiseStandardDeviation: number;
  readonly random: RandomSource;
  /** Called with each true ratio, once a second for each service task. */
  readonly onSample?: (task: VirtualTask, ratio: number) => void;
}

interface Sample {
  readonly at: number;
  readonly ratio: number;
}

/** Simulates the measurement of service latencies on one worker, with a lag and noise. */
export class LatencyMeter {
  private readonly samples = new Map<string, Sample[]>();

  constructor(private readonly model: LatencyModel) {}

  /** Samples the true ratio of all running service tasks, which are the tasks with infinite work. */
  sample(worker: VirtualWorker, at: number): void {
    worker.advance(at);
    const running = worker.running;
    for (const task of running) {
      if (Number.isFinite(task.workMs)) continue;
      const ratio = this.model.getRatio(task, running);
      this.model.onSample?.(task, ratio);
      const key = `${task.task} ${task.attempt}`;
      const samples = this.samples.get(key) ?? [];
      samples.push({at, ratio});
      // One sample a second, so that a minute is kept; the lag and the window together must be shorter.
      if (samples.length > 60) samples.shift();
      this.samples.set(key, samples);
    }
  }

  /** Returns the usage with the measured latency ratio, or unchanged if the window holds no samples. */
  addLatencyRatio(task: string, attempt: number, usage: Usage, at: number): Usage {
    const {lagMs, windowMs, noiseStandardDeviation, random} = this.model;
    const windowEnd = at - lagMs;
    const samples = (this.samples.get(`${task} ${attempt}`) ?? []).filter(
      sample => sample.at > windowEnd - windowMs && sample.at <= windowEnd,
    );
    if (samples.length === 0) return usage;
    const mean = samples.reduce((sum, sample) => sum + sample.ratio, 0) / samples.length;
    return {...usage, latencyRatio: mean * Math.exp(noiseStandardDeviation * random.normal())};
  }
}
