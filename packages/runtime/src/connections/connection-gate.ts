import {
  type ConnectionAccount,
  ConnectionLedger,
  type ConnectionLimits,
  type ConnectionPeer,
  type ConnectionPhase,
  type Shed,
} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../dispatch/decision-logger.js';
import type {Metrics} from '../metrics/index.js';

/** Limits that a `ConnectionGate` enforces. */
export interface ConnectionGateLimits extends ConnectionLimits {
  /** Time in milliseconds after which a connection is closed whose client takes nothing of an answer. */
  readonly answerTimeoutMs: number;
}

/** Options of `ConnectionGate`. */
export interface ConnectionGateOptions {
  readonly limits: ConnectionGateLimits;
  readonly log: Pick<DecisionLogger, 'log'>;
  readonly metrics: Pick<Metrics, 'count'>;
}

/** Why a connection was closed or a request refused; part of the name of its counter. */
export type ConnectionLimitReason =
  | 'memory'
  | 'connections'
  | 'answers-not-taken'
  | 'request-too-long'
  | 'request-too-slow'
  | 'body-too-large'
  | 'body-too-complex'
  | 'busy';

/** Interval in milliseconds of the log lines, and of the check for clients that take no answers. */
const logIntervalMs = 1_000;

/** Enforces the limits on the connections of all listeners of a process. */
export class ConnectionGate {
  private readonly ledger: ConnectionLedger;
  private readonly closers = new Map<ConnectionAccount, (reason: string) => void>();
  private readonly occurrences = new Map<ConnectionLimitReason, number>();
  private logTimer: NodeJS.Timeout | undefined;
  private answerTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: ConnectionGateOptions) {
    this.ledger = new ConnectionLedger(options.limits);
  }

  /** Whether there is no memory for a further request. */
  get isExhausted(): boolean {
    return this.ledger.isExhausted;
  }

  /** Adds a connection; `close` ends it, and is called at once when there is no room for it. */
  open(peer: ConnectionPeer, close: (reason: string) => void): ConnectionAccount {
    const {account, shed} = this.ledger.open(peer, performance.now());
    this.closers.set(account, close);
    if (shed.length > 0) this.shed(shed);
    return account;
  }

  /** Adds `bytes`, which may be negative, to what a connection holds. */
  hold(account: ConnectionAccount, bytes: number): void {
    const shed = this.ledger.hold(account, bytes, performance.now());
    if (shed.length > 0) this.shed(shed);
  }

  /** Sets what a connection is doing. */
  setPhase(account: ConnectionAccount, phase: ConnectionPhase): void {
    this.ledger.setPhase(account, phase, performance.now());
    if (phase === 'sending') this.checkAnswersLater();
  }

  /** Records that the other end of a connection has identified itself as an agent. */
  identifyAgent(account: ConnectionAccount): void {
    this.ledger.identifyAgent(account);
  }

  /** Removes a connection that has closed. */
  close(account: ConnectionAccount): void {
    this.ledger.close(account);
    this.closers.delete(account);
  }

  /** Counts a connection that was closed, or a request that was refused, because of a limit. */
  record(reason: ConnectionLimitReason): void {
    this.options.metrics.count(`client_limit_${reason.replaceAll('-', '_')}`);
    this.occurrences.set(reason, (this.occurrences.get(reason) ?? 0) + 1);
    this.logTimer ??= setTimeout(() => this.logOccurrences(), logIntervalMs).unref();
  }

  private shed(shed: ReadonlyArray<Shed<ConnectionAccount>>): void {
    for (const {account, reason} of shed) {
      this.record(reason);
      const close = this.closers.get(account);
      this.closers.delete(account);
      close?.(reason);
    }
  }

  private logOccurrences(): void {
    this.logTimer = undefined;
    const {size, heldBytes} = this.ledger;
    for (const [reason, count] of this.occurrences) {
      this.options.log.log('client-limit', {reason, count, connections: size, heldBytes});
    }
    this.occurrences.clear();
  }

  private checkAnswersLater(): void {
    this.answerTimer ??= setTimeout(() => this.checkAnswers(), logIntervalMs).unref();
  }

  /** Closes connections whose client takes no answers; the timer runs only while there may be some. */
  private checkAnswers(): void {
    this.answerTimer = undefined;
    const now = performance.now();
    const sending = this.ledger.findOlder('sending', 0, now);
    for (const account of sending) {
      if (now - account.since < this.options.limits.answerTimeoutMs) continue;
      this.record('answers-not-taken');
      this.closers.get(account)?.('answers-not-taken');
    }
    if (sending.length > 0) this.checkAnswersLater();
  }
}
