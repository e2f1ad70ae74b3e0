/**
 * What a connection is doing: `idle` between requests, `receiving` a request, `answering` a request that has arrived whole,
 * `sending` an answer that the client does not take.
 */
export type ConnectionPhase = 'idle' | 'receiving' | 'answering' | 'sending';

/**
 * Who is at the other end: a client, an unidentified process at the address for the system's own processes, or an agent.
 * Clients are shed first, agents last.
 */
export type ConnectionPeer = 'client' | 'peer' | 'agent';

/** Memory and state of one connection. */
export interface ConnectionAccount {
  readonly peer: ConnectionPeer;
  readonly phase: ConnectionPhase;
  readonly heldBytes: number;
  /** Monotonic time in milliseconds at which the phase began. */
  readonly since: number;
}

/** Limits of all connections of a process together. */
export interface ConnectionLimits {
  /** Largest sum in bytes of what is received, parsed and waiting to be sent. */
  readonly maxBytes: number;
  readonly maxConnections: number;
}

/** Why a connection is closed to make room. */
export type ShedReason = 'memory' | 'connections';

/** A connection to close, and why. */
export interface Shed<Account> {
  readonly account: Account;
  readonly reason: ShedReason;
}

/** Memory in bytes that an open connection takes without any data, 10.8 KB as measured with 2,000 connections. */
export const connectionBytes = 12 * 1_024;
/** Share of the budget down to which connections are closed once it is exceeded, so that this happens rarely. */
const targetShare = 7 / 8;

/**
 * Part of the time that counts while a connection is idle. It has had a request answered, and its client may send the next one
 * just when it is closed; its usual idle time of 15 s counts like 1 s of a client that has not sent a request whole.
 */
const idleDivisor = 16;

const shedRanks: Readonly<Record<ConnectionPeer, number>> = {client: 0, peer: 1, agent: 2};

interface MutableAccount {
  peer: ConnectionPeer;
  phase: ConnectionPhase;
  heldBytes: number;
  since: number;
}

/**
 * Accounts for the memory and number of all connections of a process and decides which are closed when there are too many.
 * Addresses crowds of clients that send bodies without an end, take no answers, or only stay connected.
 */
export class ConnectionLedger {
  private readonly accounts = new Set<MutableAccount>();
  private totalBytes = 0;

  constructor(private readonly limits: ConnectionLimits) {}

  /** Number of open connections. */
  get size(): number {
    return this.accounts.size;
  }

  /** Sum of the bytes of all connections. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  /** Whether the budget is exceeded although all that may be closed was closed. */
  get isExhausted(): boolean {
    return this.totalBytes > this.limits.maxBytes;
  }

  /** Adds a connection at the time `at`. Returns it with the connections to close, which may include the new one. */
  open(
    peer: ConnectionPeer,
    at: number,
  ): {readonly account: ConnectionAccount; readonly shed: ReadonlyArray<Shed<ConnectionAccount>>} {
    const shed: Array<Shed<ConnectionAccount>> = [];
    const account: MutableAccount = {peer, phase: 'receiving', heldBytes: 0, since: at};
    if (this.accounts.size >= this.limits.maxConnections) {
      const victim = this.findVictim(at) ?? account;
      this.close(victim);
      shed.push({account: victim, reason: 'connections'});
      if (victim === account) return {account, shed};
    }
    this.accounts.add(account);
    return {account, shed: [...shed, ...this.hold(account, connectionBytes, at)]};
  }

  /**
   * Adds `bytes`, which may be negative, to an account. Returns the connections to close: the one that holds most for the
   * longest time first, and none whose request waits for its answer.
   */
  hold(
    account: ConnectionAccount,
    bytes: number,
    at: number,
  ): ReadonlyArray<Shed<ConnectionAccount>> {
    if (!this.accounts.has(account)) return noShed;
    (account as MutableAccount).heldBytes += bytes;
    this.totalBytes += bytes;
    if (bytes <= 0 || this.totalBytes <= this.limits.maxBytes) return noShed;
    const shed: Array<Shed<ConnectionAccount>> = [];
    while (this.totalBytes > this.limits.maxBytes * targetShare) {
      const victim = this.findVictim(at);
      if (victim === undefined) break;
      this.close(victim);
      shed.push({account: victim, reason: 'memory'});
    }
    return shed;
  }

  /** Sets the phase of an account; its time starts again, also when the phase stays the same. */
  setPhase(account: ConnectionAccount, phase: ConnectionPhase, at: number): void {
    const mutable = account as MutableAccount;
    mutable.phase = phase;
    mutable.since = at;
  }

  /** Records that the other end has identified itself as an agent. */
  identifyAgent(account: ConnectionAccount): void {
    (account as MutableAccount).peer = 'agent';
  }

  /** Removes an account; does nothing when it was removed before. */
  close(account: ConnectionAccount): void {
    if (this.accounts.delete(account)) this.totalBytes -= account.heldBytes;
  }

  /** Returns the connections that have been in `phase` for at least `ms` milliseconds. */
  findOlder(phase: ConnectionPhase, ms: number, at: number): readonly ConnectionAccount[] {
    return [...this.accounts].filter(each => each.phase === phase && at - each.since >= ms);
  }

  private findVictim(at: number): MutableAccount | undefined {
    let victim: MutableAccount | undefined;
    let victimRank = Number.POSITIVE_INFINITY;
    let victimCost = -1;
    for (const account of this.accounts) {
      if (account.phase === 'answering') continue;
      const rank = shedRanks[account.peer];
      if (rank > victimRank) continue;
      const cost = getCost(account, at);
      if (rank === victimRank && cost <= victimCost) continue;
      victim = account;
      victimRank = rank;
      victimCost = cost;
    }
    return victim;
  }
}

const noShed: readonly never[] = [];

/** Bytes held, times the time for which they were held without completing a request. */
function getCost({heldBytes, phase, since}: ConnectionAccount, at: number): number {
  return (heldBytes * (at - since + 1)) / (phase === 'idle' ? idleDivisor : 1);
}
