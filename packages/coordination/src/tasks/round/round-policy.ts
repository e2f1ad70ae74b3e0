/** Options of a scheduling round. Values other than the defaults serve as baselines in measurements. */
export interface RoundPolicy {
  /** Order of the jobs of a team within an urgency band: by slack, by due date, or as they arrived. */
  readonly order: 'slack' | 'date' | 'arrival';
  /** Whether jobs with higher urgency go first; otherwise all jobs share one band. */
  readonly bands: boolean;
  /** Whether quotas, grants and dominant shares are applied. */
  readonly shares: boolean;
  /** Whether reservations and run times are corrected by measurements. */
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
