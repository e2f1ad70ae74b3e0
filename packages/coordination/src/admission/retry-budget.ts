/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  /** Capacity of the bucket: retries that may be sent in a burst. */
  readonly burst: number;
}

const defaults: RetryBudgetOptions = {ratio: 0.1, burst: 20};

/** Token bucket that limits retries to a fraction of recent first attempts. */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;
  private tokens: number;

  constructor(options: Partial<RetryBudgetOptions> = {}) {
    this.options = {...defaults, ...options};
    this.tokens = this.options.burst;
  }

  /** Counts a first attempt, which adds `ratio` tokens. */
  earn(): void {
    this.tokens = Math.min(this.options.burst, this.tokens + this.options.ratio);
  }

  /** Takes a token for one retry; returns false when there is none. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
