import type {Config, Hello} from '../../messages/control.js';
import type {ViewContext} from './context.js';
import {isChange} from './head.js';
import {buildTransfer, TransferAssembly} from './transfer.js';

/** A pull that brings nothing for this long goes to another peer. */
const pullTimeoutMs = 1000;

/** Interval at which an entry that cannot reach the store asks an entry elsewhere. */
const remotePullMs = 2000;

/** A connected process. */
interface Peer {
  readonly name: string;
  readonly hello: Hello;
  /** Highest version that it is known to have, or that has been sent to it. */
  version: number;
  /** Highest version that it has told of itself. */
  offered: number;
  readonly assembly: TransferAssembly;
  /** Time of the last pull from it that brought nothing. */
  failedAt: number;
}

/** Exchange of changes with connected processes. */
export class Relay {
  readonly #peers = new Map<string, Peer>();
  #neighbours: readonly Hello[] = [];
  #pull: {readonly peer: string; deadline: number} | undefined;
  #remotePullAt = Number.NEGATIVE_INFINITY;
  /** Time at which an entry of the own data centre last sent anything about the configuration. */
  heardAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly context: ViewContext) {}

  /** Adds a peer and offers it the version in force here if it is behind. */
  addPeer(name: string, hello: Hello, at: number): void {
    const peer: Peer = {
      name,
      hello,
      version: hello.configVersion,
      offered: hello.configVersion,
      assembly: new TransferAssembly(),
      failedAt: Number.NEGATIVE_INFINITY,
    };
    this.#peers.set(name, peer);
    this.#listNeighbours();
    if (peer.version < this.context.log.version) {
      if (hello.role === 'agent') this.#update(peer);
      else this.#sendNote(peer);
    }
    this.#pullIfBehind(at);
  }

  /** Removes a peer. */
  removePeer(name: string, at: number): void {
    this.#peers.delete(name);
    this.#listNeighbours();
    if (this.#pull?.peer === name) this.#pull = undefined;
    this.#pullIfBehind(at);
  }

  /** Returns the hellos of the connected entries of the own data centre. */
  getNeighbours(): readonly Hello[] {
    return this.#neighbours;
  }

  /** Tells whether a connected process offers this version. */
  isOffered(version: number): boolean {
    return [...this.#peers.values()].some(peer => peer.offered >= version);
  }

  /** Takes note of the version that a peer tells of itself. */
  noteVersion(name: string, version: number, at: number): void {
    const peer = this.#peers.get(name);
    if (!peer) return;
    peer.offered = Math.max(peer.offered, version);
    // A peer that reports less than it was sent has lost the message, or has not applied it yet.
    if (version > peer.version) peer.version = version;
    this.#pullIfBehind(at);
  }

  /** Handles changes from a peer. Returns true when the version in force has moved. */
  receive(name: string, message: Config, at: number): boolean {
    const peer = this.#peers.get(name);
    if (!peer) return false;
    if (this.#isNeighbour(peer)) this.heardAt = at;
    const moved = this.#apply(peer, message, at);
    const told = message.from + message.changes.length;
    this.noteVersion(name, told, at);
    if (peer.offered < this.context.log.version && message.changes.length === 0) {
      // The peer tells an older version: it is behind.
      peer.version = Math.min(peer.version, told);
      this.#update(peer);
    }
    return moved;
  }

  /** Answers a request for the changes after a version. */
  serve(name: string, after: number): void {
    const peer = this.#peers.get(name);
    if (!peer) return;
    this.context.count('served');
    peer.offered = Math.max(peer.offered, after);
    peer.version = after;
    if (after >= this.context.log.version) this.#sendNote(peer);
    else this.#transfer(peer);
  }

  /** Passes a new version on: to agents always, to entries of the own data centre if it came from the store. */
  distribute(fromStore: boolean): void {
    for (const peer of this.#peers.values()) {
      if (peer.version >= this.context.log.version) continue;
      if (peer.hello.role === 'agent') {
        if (this.context.options.role === 'entry') this.#update(peer);
      } else if (fromStore && this.#isNeighbour(peer)) {
        this.#update(peer);
      } else if (!fromStore && !this.context.storeAnswers) {
        // Without the store, processes learn from each other only.
        this.#sendNote(peer);
      }
    }
  }

  /** Tells the entries of the own data centre that the relay is alive, and the version. */
  beat(): void {
    for (const peer of this.#peers.values()) if (this.#isNeighbour(peer)) this.#sendNote(peer);
  }

  /** Moves an unanswered pull to another peer, and asks elsewhere while the store does not answer. */
  tick(at: number): void {
    if (this.#pull && this.#pull.deadline <= at) {
      const peer = this.#peers.get(this.#pull.peer);
      if (peer) peer.failedAt = at;
      this.#pull = undefined;
      this.context.count('pull-timeout');
    }
    this.#pullIfBehind(at);
    if (this.context.options.role === 'entry' && !this.context.storeAnswers) this.#askElsewhere(at);
  }

  #listNeighbours(): void {
    const neighbours = [...this.#peers.values()].filter(peer => this.#isNeighbour(peer));
    this.#neighbours = neighbours.map(peer => peer.hello);
  }

  /** Starts a pull from the best peer that offers more than what is in force here. */
  #pullIfBehind(at: number): void {
    if (this.#pull) return;
    const ahead = [...this.#peers.values()].filter(
      peer => peer.offered > this.context.log.version && peer.failedAt + pullTimeoutMs <= at,
    );
    if (ahead.length === 0) return;
    ahead.sort((a, b) => this.#getDistance(a) - this.#getDistance(b) || b.offered - a.offered);
    const nearest = ahead.filter(peer => this.#getDistance(peer) === this.#getDistance(ahead[0]));
    const peer = nearest[Math.floor(this.context.jitter.below(nearest.length))] as Peer;
    this.#pull = {peer: peer.name, deadline: at + pullTimeoutMs};
    this.#request(peer);
  }

  #askElsewhere(at: number): void {
    if (this.#remotePullAt + remotePullMs > at) return;
    this.#remotePullAt = at;
    const remote = [...this.#peers.values()].filter(
      peer => peer.hello.role === 'entry' && !this.#isNeighbour(peer),
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
    const before = log.version;
    if (message.snapshot !== undefined) {
      if (this.#pull?.peer === peer.name) this.#pull.deadline = at + pullTimeoutMs;
      const transfer = peer.assembly.add(message.snapshot);
      if (transfer?.kind === 'configuration') log.adopt(transfer.configuration);
      if (transfer?.kind === 'changes') this.#advance(transfer.changes);
    } else if (!message.changes.every(isChange)) {
      this.context.count('malformed');
    } else {
      this.#advance(message.changes);
    }
    // A note of a newer version may cross the request; only a peer with nothing newer ends the pull.
    const told = message.from + message.changes.length;
    const isSpent = message.snapshot === undefined && told <= before;
    if (this.#pull?.peer === peer.name && (log.version > before || isSpent)) {
      if (log.version === before) peer.failedAt = at;
      this.#pull = undefined;
    }
    return log.version > before;
  }

  #advance(changes: Config['changes']): void {
    const result = this.context.log.advance(changes);
    if (result === 'fork' || result === 'gap') this.context.count(`relay-${result}`);
  }

  /**
   * Sends a peer the changes that it lacks. A peer that needs the whole configuration is only told of
   * the version and asks one process for it; several would else send it the same snapshot.
   */
  #update(peer: Peer): void {
    if (this.context.log.getChangesAfter(peer.version)) this.#transfer(peer);
    else this.#sendNote(peer);
    peer.version = this.context.log.version;
  }

  #transfer(peer: Peer): void {
    for (const message of buildTransfer(this.context.log, peer.version)) {
      this.context.emit({kind: 'send', peer: peer.name, message});
    }
    peer.version = this.context.log.version;
  }

  #sendNote(peer: Peer): void {
    const message: Config = {kind: 'config', from: this.context.log.version, changes: []};
    this.context.emit({kind: 'send', peer: peer.name, message});
  }

  #isNeighbour(peer: Peer): boolean {
    return peer.hello.role === 'entry' && peer.hello.dataCentre === this.context.options.dataCentre;
  }

  #getDistance(peer: Peer | undefined): number {
    const {dataCentre, region} = this.context.options;
    if (peer?.hello.dataCentre === dataCentre) return 0;
    return peer?.hello.region === region ? 1 : 2;
  }
}
