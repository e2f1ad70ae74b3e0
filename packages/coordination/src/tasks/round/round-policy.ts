/** Choices of a scheduling round. Other values than the defaults serve as baselines in measurements. */
export interface RoundPolicy {
  /** Order of the jobs of a team within an urgency band. */
  readonly order: 'slack' | 'date' | 'arrival';
  /** Whether higher urgency goes first; otherwise all jobs form one band. */
  readonly bands: boolean;
  /** Whether quotas, grants and shares count. */
  readonly shares: boolean;
  /** Whether sizes and run times are learned. */
  readonly learns: boolean;
  /** Whether batch tasks may be evicted for other work. */
  readonly evicts: boolean;
}

/** Defaults of `RoundPolicy`. */
export const defaultRoundPolicy: RoundPolicy = {
  order: 'slack',
  bands: true,
  shares: true,
  learns: true,
  evicts: true,
};
