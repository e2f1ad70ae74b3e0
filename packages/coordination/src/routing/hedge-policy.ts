import {RetryBudget} from '../admission/retry-budget.js';

/** Decides when a second copy of a slow idempotent request may be sent. */
export class HedgePolicy {
  private readonly budget: RetryBudget;
  private readonly quantiles = new Map<string, {p95Ms: number; samples: number}>();

  /** `ratio` hedges are allowed for each first attempt. */
  constructor(ratio: number) {
    this.budget = new RetryBudget({ratio, burst: ratio > 0 ? 5 : 0});
  }

  /** Counts a first attempt. */
  earn(): void {
    this.budget.earn();
  }

  /** Adds the latency of an answered attempt of a service. */
  addSample(service: string, latencyMs: number): void {
    const estimate = this.quantiles.get(service);
    if (!estimate) {
      this.quantiles.set(service, {p95Ms: latencyMs, samples: 1});
      return;
    }
    estimate.samples += 1;
    // Stochastic quantile estimate: equilibrium where 5% of the samples lie above.
    const step = Math.max(estimate.p95Ms, 0.1) * 0.02;
    estimate.p95Ms += latencyMs > estimate.p95Ms ? step * 19 * 0.5 : -step * 0.5;
  }

  /** Time after which an attempt of the service counts as slow, or undefined while too little is known. */
  getDelayMs(service: string): number | undefined {
    const estimate = this.quantiles.get(service);
    return estimate && estimate.samples >= 50 ? estimate.p95Ms : undefined;
  }

  /** Takes one hedge from the budget and returns whether it is allowed. */
  spend(): boolean {
    return this.budget.spend();
  }
}
