import {RetryBudget} from '../admission/retry-budget.js';

/** Decides when a hedged request, a second copy of a slow idempotent request, may be sent. */
export class HedgePolicy {
  private readonly budget: RetryBudget;
  private readonly quantiles = new Map<string, {p95Ms: number; samples: number}>();

  /** Creates a policy that allows `ratio` hedges for each first attempt; 0 disables hedging. */
  constructor(ratio: number) {
    this.budget = new RetryBudget({ratio, burst: ratio > 0 ? 5 : 0});
  }

  /** Counts a first attempt, which adds to the hedge budget. */
  earn(): void {
    this.budget.earn();
  }

  /** Adds the latency of an answered attempt of a service in milliseconds. */
  addSample(service: string, latencyMs: number): void {
    const estimate = this.quantiles.get(service);
    if (!estimate) {
      this.quantiles.set(service, {p95Ms: latencyMs, samples: 1});
      return;
    }
    estimate.samples += 1;
    // Stochastic estimate of the 95th percentile: the steps balance when 5% of the samples lie above it.
    const step = Math.max(estimate.p95Ms, 0.1) * 0.02;
    estimate.p95Ms += latencyMs > estimate.p95Ms ? step * 19 * 0.5 : -step * 0.5;
  }

  /** Estimated 95th percentile, after which an attempt counts as slow; undefined for fewer than 50 samples. */
  getDelayMs(service: string): number | undefined {
    const estimate = this.quantiles.get(service);
    return estimate && estimate.samples >= 50 ? estimate.p95Ms : undefined;
  }

  /** Takes a token for one hedge; returns false when there is none. */
  spend(): boolean {
    return this.budget.spend();
  }
}
