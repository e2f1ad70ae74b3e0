import {createServer, type Server, type Socket} from 'node:net';
import type {Hello} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';
import {PeerConnection} from './peer-connection.js';
import {PeerDialler} from './peer-dialler.js';
import type {PeerHandlers} from './peer-handlers.js';
import {PeerLinks} from './peer-links.js';

/** Agents connect to all entries of their region up to this number, else to the chosen ones. */
const maxEntriesForAll = 4;
const chosenEntries = 3;

/** Options of the peer network of one process. */
export interface PeerNetworkOptions {
  /** Hello of this process without its purpose; called anew for each connection. */
  readonly hello: (peer?: Hello) => Hello;
  /** Own listening address `ip:port`; only for entries. */
  readonly listen?: string;
  /** Addresses of entries to connect to. */
  readonly seeds: readonly string[];
}

/** All connections of one process to other processes of the system. */
export class PeerNetwork {
  private readonly links: PeerLinks;
  private readonly diallers = new Map<string, readonly PeerDialler[]>();
  private readonly known = new Set<string>();
  private readonly entries = new Map<string, {readonly region: string; readonly address: string}>();
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  /** Creates the network; `start` opens it. */
  constructor(
    private readonly options: PeerNetworkOptions,
    private readonly handlers: PeerHandlers,
  ) {
    this.links = new PeerLinks({
      ...bindHandlers(handlers),
      peerUp: (peer, hello) => {
        this.learn(hello);
        handlers.peerUp(peer, hello);
      },
    });
  }

  /** Listens, when this process is an entry, and connects to the seeds. */
  async start(): Promise<void> {
    if (this.options.listen !== undefined) await this.listen(this.options.listen);
    for (const seed of this.options.seeds) this.known.add(seed);
    this.connectToKnown();
  }

  /** Sends a message to a process; returns whether it is up. */
  send(peer: string, message: PeerMessage, body?: Uint8Array): boolean {
    return this.links.send(peer, message, body);
  }

  /** Names of the processes that are up. */
  getNames(): readonly string[] {
    return this.links.getNames();
  }

  /** Addresses of entries that this process knows, its own first; of one region if asked. */
  getKnownAddresses(region?: string): readonly string[] {
    const {listen} = this.options;
    const own = listen === undefined ? [] : [listen];
    const others =
      region === undefined
        ? [...this.known]
        : [...this.entries.values()].filter(e => e.region === region).map(e => e.address);
    return [...new Set([...own, ...others])];
  }

  /** Sends what is queued and closes everything. */
  async stop(): Promise<void> {
    for (const pair of this.diallers.values()) for (const dialler of pair) dialler.stop();
    this.links.end();
    const {server} = this;
    if (server === undefined) return;
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    for (const socket of this.sockets) socket.destroySoon();
    await closed;
  }

  private async listen(address: string): Promise<void> {
    this.known.add(address);
    const separator = address.lastIndexOf(':');
    const server = createServer(socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      const {incarnation} = this.options.hello();
      new PeerConnection(socket, this.options.hello, this.links, incarnation, false);
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
    });
  }

  private learn(hello: Hello): void {
    const own = this.options.hello();
    const [address] = hello.peers;
    if (hello.role === 'entry' && address !== undefined) {
      this.entries.set(hello.name, {region: hello.region, address});
    }
    // Agents stay within their region; the entries between them form a mesh over all regions.
    if (own.role === 'agent' && hello.region !== own.region) return;
    for (const address of hello.peers) this.known.add(address);
    this.connectToKnown();
  }

  private connectToKnown(): void {
    for (const address of this.getTargets()) {
      if (this.diallers.has(address)) continue;
      const pair = (['control', 'data'] as const).map(
        purpose => new PeerDialler(address, () => ({...this.options.hello(), purpose}), this.links),
      );
      this.diallers.set(address, pair);
      for (const dialler of pair) dialler.start();
    }
  }

  private getTargets(): readonly string[] {
    const own = this.options.listen;
    // Of two entries the one with the lower address dials, so that each pair has one link.
    if (own !== undefined) return [...this.known].filter(address => address > own);
    if (this.known.size <= maxEntriesForAll) return [...this.known];
    const {name} = this.options.hello();
    return [...this.known]
      .sort((a, b) => getRendezvousWeight(name, b) - getRendezvousWeight(name, a))
      .slice(0, chosenEntries);
  }
}

/** Returns the rendezvous weight of an entry address for an agent (FNV-1a with a final mix). */
export function getRendezvousWeight(agent: string, address: string): number {
  let hash = 0x811c9dc5;
  for (const character of `${agent}|${address}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}

function bindHandlers(handlers: PeerHandlers): PeerHandlers {
  return {
    peerUp: (peer, hello) => handlers.peerUp(peer, hello),
    peerDown: peer => handlers.peerDown(peer),
    message: (peer, message, body) => handlers.message(peer, message, body),
    refused: reason => handlers.refused(reason),
  };
}
