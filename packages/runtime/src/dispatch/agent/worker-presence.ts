/** Interval of the heartbeats in milliseconds when none is stated. */
const defaultHeartbeatIntervalMs = 1_500;

/** Consecutive refused connections after which a worker may be gone; fewer may be a restarting listener. */
const maxRefusedConnections = 3;
/** Time in milliseconds by which a heartbeat of a worker that is up may be late. */
const heartbeatMarginMs = 500;

/** Why a worker counts as gone. */
export type WorkerEndReason = 'farewell' | 'refused-connection';

/**
 * Evidence of whether the present incarnation of a worker is gone, so that its runs may be started elsewhere. A refused
 * connection alone is no proof: the worker may listen again, with all its runs. Neither is a farewell, because the runs continue
 * until the process has ended. Without proof the runs are lost only when the worker's lease has expired.
 */
export class WorkerPresence {
  private refusedConnections = 0;
  /** Time of the first of the consecutive calls that failed; undefined after a successful one. */
  private silentSince: number | undefined;
  private hasSaidFarewell = false;

  /** `heartbeatAt` is the time of the first heartbeat; others follow at `heartbeatIntervalMs`. */
  constructor(
    private readonly heartbeatIntervalMs = defaultHeartbeatIntervalMs,
    private heartbeatAt: number,
  ) {}

  /** Whether the worker has announced its end and not been heard from since. */
  get isLeaving(): boolean {
    return this.hasSaidFarewell;
  }

  /** Whether the latest failed call is not one of several refused ones in a row. */
  get isFirstRefusal(): boolean {
    return this.refusedConnections <= 1;
  }

  /** Records a heartbeat. */
  recordHeartbeat(at: number): void {
    this.heartbeatAt = at;
    this.hasSaidFarewell = false;
  }

  /** Records that the worker has announced its end. */
  recordFarewell(): void {
    this.hasSaidFarewell = true;
  }

  /** Records an answer of the worker. */
  recordAnswer(): void {
    this.refusedConnections = 0;
    this.silentSince = undefined;
  }

  /** Records a call without an answer of the worker; `isRefused` means that nothing listened at its address. */
  recordFailure(isRefused: boolean, at: number): void {
    this.silentSince ??= at;
    this.refusedConnections = isRefused ? this.refusedConnections + 1 : 0;
  }

  /** Time of the first of the consecutive calls that failed; undefined while the worker answers. */
  get silentAt(): number | undefined {
    return this.silentSince;
  }

  /** Returns the time in milliseconds since the worker stopped answering. */
  getSilentMs(at: number): number {
    return this.silentSince === undefined ? 0 : at - this.silentSince;
  }

  /** Returns why the worker counts as gone, or undefined while it may be up. */
  getEndReason(at: number): WorkerEndReason | undefined {
    if (this.refusedConnections === 0) return undefined;
    if (this.hasSaidFarewell) return 'farewell';
    const heardAt = Math.max(this.heartbeatAt, this.silentSince ?? at);
    const areHeartbeatsMissing = at - heardAt >= this.heartbeatIntervalMs + heartbeatMarginMs;
    const isRefusing = this.refusedConnections >= maxRefusedConnections;
    return isRefusing && areHeartbeatsMissing ? 'refused-connection' : undefined;
  }
}
