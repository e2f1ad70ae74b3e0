/** Time for which a grant extends the leases of a host's tasks. */
export const taskLeaseMs = 10_000;

/** Time between the heartbeats that carry an agent's clock stamp. */
export const taskHeartbeatMs = 3_000;

/** Largest drift between two clocks that the lease wait allows for. */
export const clockDriftFraction = 0.01;

/** Allowance in the lease wait for a stop that the worker still has to carry out. */
export const leaseStopAllowanceMs = 1_000;

/** Time after the last granted heartbeat from which a host's tasks have certainly ended. */
export const leaseWaitMs = taskLeaseMs * (1 + clockDriftFraction) + leaseStopAllowanceMs;

/** Attempt numbers are `term * attemptsPerTerm + sequence`. */
export const attemptsPerTerm = 2 ** 20;

/** Time for which unreported tasks stay `possibly running` without a complete fence. */
export const holdLimitMs = 2 * 3_600_000;
