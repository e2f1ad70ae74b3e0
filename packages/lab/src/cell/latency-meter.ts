import type {Usage} from '@chervilbeam/coordination';
import type {RandomSource} from './random-source.js';
import type {VirtualTask, VirtualWorker} from './virtual-worker.js';

/** How the latency of services depends on the tasks beside them, and how it is measured. */
export interface LatencyModel {
  /** True ratio of the latency of a service task to its value alone. */
  getRatio(task: VirtualTask, running: readonly VirtualTask[]): number;
  /** Age of the newest sample in a report. */
  readonly lagMs: number;
  /** Length of a measurement. */
  readonly windowMs: number;
  /** Standard deviation of the logarithm of a measured ratio. */
  readonly noise: number;
  readonly random: RandomSource;
  /** Called with each true ratio, once a second and service task. */
  readonly onSample?: (task: VirtualTask, ratio: number) => void;
}

interface Sample {
  readonly at: number;
  readonly ratio: number;
}

/** Measures the latency of the services on one worker, late and with noise. */
export class LatencyMeter {
  private readonly samples = new Map<string, Sample[]>();

  constructor(private readonly model: LatencyModel) {}

  /** Samples all service tasks. */
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
      if (samples.length > 60) samples.shift();
      this.samples.set(key, samples);
    }
  }

  /** Adds the measured ratio to the usage of a service task. */
  addLatencyRatio(task: string, attempt: number, usage: Usage, at: number): Usage {
    const {lagMs, windowMs, noise, random} = this.model;
    const windowEnd = at - lagMs;
    const samples = (this.samples.get(`${task} ${attempt}`) ?? []).filter(
      sample => sample.at > windowEnd - windowMs && sample.at <= windowEnd,
    );
    if (samples.length === 0) return usage;
    const mean = samples.reduce((sum, sample) => sum + sample.ratio, 0) / samples.length;
    return {...usage, latencyRatio: mean * Math.exp(noise * random.normal())};
  }
}
