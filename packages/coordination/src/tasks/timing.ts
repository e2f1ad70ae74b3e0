/** Lease duration of tasks, counted from the agent's heartbeat whose stamp a grant or start message carries. */
export const taskLeaseMs = 10_000;

/** Interval between an agent's heartbeats, which carry its clock time as a stamp. */
export const taskHeartbeatMs = 3_000;

/** Largest relative drift between two clocks that the lease wait tolerates. */
export const clockDriftFraction = 0.01;

/** Time in the lease wait for the worker to stop a task whose lease has expired. */
export const leaseStopAllowanceMs = 1_000;

/** Time after the last granted heartbeat at which the leases of a host's tasks have certainly expired. */
export const leaseWaitMs = taskLeaseMs * (1 + clockDriftFraction) + leaseStopAllowanceMs;

/** Attempt numbers are `term * attemptsPerTerm + sequence`, so that a later term has higher numbers. */
export const attemptsPerTerm = 2 ** 20;

/** Time for which unreported tasks count as possibly running and do not restart, unless fencing completes earlier. */
export const possiblyRunningLimitMs = 2 * 3_600_000;
