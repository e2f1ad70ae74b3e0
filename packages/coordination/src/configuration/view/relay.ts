import type {Config, Hello} from '../../messages/control.js';
import type {ViewContext} from './context.js';
import {isChange} from './head.js';
import {buildTransfer, TransferAssembler} from './transfer.js';

/** Time without an answer after which a pull moves to another peer, and for which the failed peer is avoided. */
const pullTimeoutMs = 1000;

/** Interval at which an entry that cannot reach the store asks an entry of another data centre for changes. */
const remotePullIntervalMs = 2000;

/** State of a connected process. */
interface Peer {
  readonly name: string;
  readonly hello: Hello;
  /** Version that it is assumed to have: the last one reported by it or sent to it. */
  version: number;
  /** Highest version that it has reported to have. */
  reportedVersion: number;
  readonly assembler: TransferAssembler;
  /** Time of the last pull from it that timed out or returned nothing new. */
  pullFailedAt: number;
}

/** Exchanges configuration changes with connected processes. */
export class Relay {
  readonly #peers = new Map<string, Peer>();
  #localEntries: readonly Hello[] = [];
  #pull: {readonly peer: string; deadline: number} | undefined;
  #remotePullAt = Number.NEGATIVE_INFINITY;
  /** Time at which an entry of the same data centre last sent a configuration message. */
  localMessageAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly context: ViewContext) {}

  /** Adds a peer. If its version is older, sends changes to an agent and announces the version to an entry. */
  addPeer(name: string, hello: Hello, at: number): void {
    const peer: Peer = {
      name,
      hello,
      version: hello.configVersion,
      reportedVersion: hello.configVersion,
      assembler: new TransferAssembler(),
      pullFailedAt: Number.NEGATIVE_INFINITY,
    };
    this.#peers.set(name, peer);
    this.#updateLocalEntries();
    if (peer.version < this.context.log.version) {
      if (hello.role === 'agent') this.#bringUpToDate(peer);
      else this.#announceVersion(peer);
    }
    this.#pullIfBehind(at);
  }

  /** Removes a peer; a pull from it moves to another one. */
  removePeer(name: string, at: number): void {
    this.#peers.delete(name);
    this.#updateLocalEntries();
    if (this.#pull?.peer === name) this.#pull = undefined;
    this.#pullIfBehind(at);
  }

  /** Returns the hello messages of the connected entries of the same data centre. */
  getLocalEntries(): readonly Hello[] {
    return this.#localEntries;
  }

  /** Returns whether a connected process has reported this version or a higher one. */
  isReportedByPeer(version: number): boolean {
    return [...this.#peers.values()].some(peer => peer.reportedVersion >= version);
  }

  /** Records a version that a peer reports, and pulls from it if it is newer. */
  recordReportedVersion(name: string, version: number, at: number): void {
    const peer = this.#peers.get(name);
    if (!peer) return;
    peer.reportedVersion = Math.max(peer.reportedVersion, version);
    // A lower version than the one sent is ignored: the peer lost the message or has not applied it yet.
    if (version > peer.version) peer.version = version;
    this.#pullIfBehind(at);
  }

  /** Applies changes from a peer. Returns whether the version in force has advanced. */
  receive(name: string, message: Config, at: number): boolean {
    const peer = this.#peers.get(name);
    if (!peer) return false;
    if (this.#isLocalEntry(peer)) this.localMessageAt = at;
    const moved = this.#apply(peer, message, at);
    const peerVersion = message.from + message.changes.length;
    this.recordReportedVersion(name, peerVersion, at);
    if (peer.reportedVersion < this.context.log.version && message.changes.length === 0) {
      // The peer announced an older version, so it lacks changes.
      peer.version = Math.min(peer.version, peerVersion);
      this.#bringUpToDate(peer);
    }
    return moved;
  }

  /** Answers the request of a peer for the changes after a version. */
  serve(name: string, after: number): void {
    const peer = this.#peers.get(name);
    if (!peer) return;
    this.context.count('served');
    peer.reportedVersion = Math.max(peer.reportedVersion, after);
    peer.version = after;
    if (after >= this.context.log.version) this.#announceVersion(peer);
    else this.#transfer(peer);
  }

  /**
   * Distributes a new version. An entry always sends it to agents, and to the entries of its data centre if it came
   * from the store. A relayed version is announced to all entries while the store is unreachable.
   */
  distribute(isFromStore: boolean): void {
    for (const peer of this.#peers.values()) {
      if (peer.version >= this.context.log.version) continue;
      if (peer.hello.role === 'agent') {
        if (this.context.options.role === 'entry') this.#bringUpToDate(peer);
      } else if (isFromStore && this.#isLocalEntry(peer)) {
        this.#bringUpToDate(peer);
      } else if (!isFromStore && !this.context.isStoreReachable) {
        // While the store is unreachable, processes learn of changes only from each other.
        this.#announceVersion(peer);
      }
    }
  }

  /** Announces the version in force to the entries of the same data centre, which also serves as a heartbeat. */
  announceToLocalEntries(): void {
    for (const peer of this.#peers.values())
      if (this.#isLocalEntry(peer)) this.#announceVersion(peer);
  }

  /** Moves a timed-out pull to another peer, and pulls from other data centres while the store is unreachable. */
  tick(at: number): void {
    if (this.#pull && this.#pull.deadline <= at) {
      const peer = this.#peers.get(this.#pull.peer);
      if (peer) peer.pullFailedAt = at;
      this.#pull = undefined;
      this.context.count('pull-timeout');
    }
    this.#pullIfBehind(at);
    if (this.context.options.role === 'entry' && !this.context.isStoreReachable)
      this.#pullFromRemoteEntry(at);
  }

  #updateLocalEntries(): void {
    const localEntries = [...this.#peers.values()].filter(peer => this.#isLocalEntry(peer));
    this.#localEntries = localEntries.map(peer => peer.hello);
  }

  /** Starts a pull from one of the nearest peers that reported a newer version. */
  #pullIfBehind(at: number): void {
    if (this.#pull) return;
    const newerPeers = [...this.#peers.values()].filter(
      peer =>
        peer.reportedVersion > this.context.log.version && peer.pullFailedAt + pullTimeoutMs <= at,
    );
    if (newerPeers.length === 0) return;
    newerPeers.sort(
      (a, b) =>
        this.#getDistance(a) - this.#getDistance(b) || b.reportedVersion - a.reportedVersion,
    );
    const nearest = newerPeers.filter(
      peer => this.#getDistance(peer) === this.#getDistance(newerPeers[0]),
    );
    const peer = nearest[Math.floor(this.context.jitter.below(nearest.length))] as Peer;
    this.#pull = {peer: peer.name, deadline: at + pullTimeoutMs};
    this.#request(peer);
  }

  #pullFromRemoteEntry(at: number): void {
    if (this.#remotePullAt + remotePullIntervalMs > at) return;
    this.#remotePullAt = at;
    const remote = [...this.#peers.values()].filter(
      peer => peer.hello.role === 'entry' && !this.#isLocalEntry(peer),
    );
    const peer = remote[Math.floor(this.context.jitter.below(remote.length))];
    if (peer) this.#request(peer);
  }

  #request(peer: Peer): void {
    const message = {kind: 'config-request' as const, after: this.context.log.version};
    this.context.emit({kind: 'send', peer: peer.name, message});
  }

  #apply(peer: Peer, message: Config, at: number): boolean {
    const {log} = this.context;
    const previousVersion = log.version;
    if (message.snapshot !== undefined) {
      if (this.#pull?.peer === peer.name) this.#pull.deadline = at + pullTimeoutMs;
      const transfer = peer.assembler.add(message.snapshot);
      if (transfer?.kind === 'configuration') log.adopt(transfer.configuration);
      if (transfer?.kind === 'changes') this.#applyChanges(transfer.changes);
    } else if (!message.changes.every(isChange)) {
      this.context.count('malformed');
    } else {
      this.#applyChanges(message.changes);
    }
    // An announcement of a newer version may cross the request; only a peer with nothing newer ends the pull.
    const peerVersion = message.from + message.changes.length;
    const hasNothingNewer = message.snapshot === undefined && peerVersion <= previousVersion;
    if (this.#pull?.peer === peer.name && (log.version > previousVersion || hasNothingNewer)) {
      if (log.version === previousVersion) peer.pullFailedAt = at;
      this.#pull = undefined;
    }
    return log.version > previousVersion;
  }

  #applyChanges(changes: Config['changes']): void {
    const result = this.context.log.advance(changes);
    if (result === 'fork' || result === 'gap') this.context.count(`relay-${result}`);
  }

  /**
   * Sends a peer the changes that it lacks. A peer that needs the whole configuration only gets the version
   * announced and requests the snapshot from one process; otherwise several would send it the same snapshot.
   */
  #bringUpToDate(peer: Peer): void {
    if (this.context.log.getChangesAfter(peer.version)) this.#transfer(peer);
    else this.#announceVersion(peer);
    peer.version = this.context.log.version;
  }

  #transfer(peer: Peer): void {
    for (const message of buildTransfer(this.context.log, peer.version)) {
      this.context.emit({kind: 'send', peer: peer.name, message});
    }
    peer.version = this.context.log.version;
  }

  #announceVersion(peer: Peer): void {
    const message: Config = {kind: 'config', from: this.context.log.version, changes: []};
    this.context.emit({kind: 'send', peer: peer.name, message});
  }

  #isLocalEntry(peer: Peer): boolean {
    return peer.hello.role === 'entry' && peer.hello.dataCentre === this.context.options.dataCentre;
  }

  /** Returns 0 for the same data centre, 1 for another one of the same region and 2 for another region. */
  #getDistance(peer: Peer | undefined): number {
    const {dataCentre, region} = this.context.options;
    if (peer?.hello.dataCentre === dataCentre) return 0;
    return peer?.hello.region === region ? 1 : 2;
  }
}
