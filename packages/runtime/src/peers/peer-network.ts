import {createServer, type Server, type Socket} from 'node:net';
import type {Channel, Hello} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';
import {PeerConnection, type StampClock} from './peer-connection.js';
import {PeerDialler} from './peer-dialler.js';
import type {PeerHandlers} from './peer-handlers.js';
import {PeerLinks} from './peer-links.js';

/** Agents connect to all entries of their region up to this number, else to the chosen ones. */
const maxEntriesForAll = 4;
const chosenEntries = 3;

/** Options of the peer network of one process. */
export interface PeerNetworkOptions {
  /** Hello of this process without its purpose; called anew for each connection. */
  readonly hello: () => Hello;
  /** Own listening address `ip:port`; only for entries. */
  readonly listen?: string;
  /** Addresses of entries to connect to. */
  readonly seeds: readonly string[];
  /** Hybrid clock whose stamps travel with the messages. */
  readonly clock?: StampClock;
}

/** All connections of one process to other processes of the system. */
export class PeerNetwork {
  private readonly links: PeerLinks;
  private readonly diallers = new Map<string, PeerDialler>();
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
      controlUp: (peer, hello) => {
        this.learn(hello);
        handlers.controlUp(peer, hello);
      },
    });
  }

  /** Listens, when this process is an entry, and connects to the seeds. */
  async start(): Promise<void> {
    if (this.options.listen !== undefined) await this.listen(this.options.listen);
    for (const seed of this.options.seeds) this.known.add(seed);
    this.connectToKnown();
  }

  /** Sends a message on one connection to a process; returns whether that connection is open. */
  send(peer: string, channel: Channel, message: PeerMessage, body?: Uint8Array): boolean {
    return this.links.send(peer, channel, message, body);
  }

  /** Names of the processes to which both connections are open. */
  getNames(): readonly string[] {
    return this.links.getNames();
  }

  /** Hellos of the processes whose control connection is open. */
  getHellos(): readonly Hello[] {
    return this.links.getHellos();
  }

  /** Addresses of entries that this process knows, its own first. */
  getKnownAddresses(): readonly string[] {
    return [...this.known];
  }

  /** Sends what is queued and closes everything. */
  async stop(): Promise<void> {
    for (const dialler of this.diallers.values()) dialler.stop();
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
      const {hello, clock} = this.options;
      new PeerConnection(socket, hello, this.links, incarnation, false, clock);
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
    });
  }

  private learn(hello: Hello): void {
    const [address] = hello.peers;
    if (hello.role === 'entry' && address !== undefined) {
      this.entries.set(hello.name, {region: hello.region, address});
    }
    for (const known of hello.peers) this.known.add(known);
    this.connectToKnown();
  }

  /**
   * Entries connect to all entries. Agents open a control connection to every entry, since any of them may
   * own their cell, and data connections to entries of their own region only.
   */
  private connectToKnown(): void {
    const own = this.options.listen;
    for (const address of this.known) {
      // Of two entries the one with the lower address dials, so that each pair has one link.
      if (own !== undefined && address <= own) continue;
      this.dial(address, 'control');
      if (own !== undefined) this.dial(address, 'data');
    }
    if (own === undefined) for (const address of this.getDataTargets()) this.dial(address, 'data');
  }

  private dial(address: string, purpose: Channel): void {
    const name = `${address} ${purpose}`;
    if (this.diallers.has(name)) return;
    const getHello = () => ({...this.options.hello(), purpose});
    const dialler = new PeerDialler(address, getHello, this.links, this.options.clock);
    this.diallers.set(name, dialler);
    dialler.start();
  }

  private getDataTargets(): readonly string[] {
    const {name, region} = this.options.hello();
    const addresses = [...this.entries.values()]
      .filter(entry => entry.region === region)
      .map(entry => entry.address);
    if (addresses.length <= maxEntriesForAll) return addresses;
    return addresses
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
    controlUp: (peer, hello) => handlers.controlUp(peer, hello),
    controlDown: peer => handlers.controlDown(peer),
    peerUp: (peer, hello) => handlers.peerUp(peer, hello),
    peerDown: peer => handlers.peerDown(peer),
    message: (peer, channel, message, body) => handlers.message(peer, channel, message, body),
    refused: reason => handlers.refused(reason),
  };
}
