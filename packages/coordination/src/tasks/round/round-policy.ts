/** Options of a scheduling round. Values other than the defaults serve as baselines in measurements. */
export interface RoundPolicy {
  /** Order of the jobs of a team within an urgency band: by slack, by due date, or as they arrived. */
  readonly order: 'slack' | 'date' | 'arrival';
  /** Whether jobs with higher urgency go first; otherwise all jobs share one band. */
  readonly usesUrgencyBands: boolean;
  /** Whether quotas, grants and dominant shares are applied. */
  readonly appliesQuotas: boolean;
  /** Whether reservations and run times are corrected by measurements. */
  readonly isLearning: boolean;
  /** Whether batch tasks may be evicted for other work. */
  readonly allowsEviction: boolean;
}

/** Defaults of `RoundPolicy`. */
export const defaultRoundPolicy: RoundPolicy = {
  order: 'slack',
  usesUrgencyBands: true,
  appliesQuotas: true,
  isLearning: true,
  allowsEviction: true,
};
