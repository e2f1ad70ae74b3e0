import {createServer, type Server, type Socket} from 'node:net';
import type {Channel, Hello} from '@chervilbeam/coordination';
import {isProcessAddress} from '../addresses/index.js';
import type {PeerMessage} from '../framing/index.js';
import {PeerConnection, type StampClock} from './peer-connection.js';
import {PeerDialler} from './peer-dialler.js';
import type {PeerHandlers} from './peer-handlers.js';
import {PeerLinks} from './peer-links.js';

/** Largest number of entries in a region at which its agents open data connections to all of them. */
const maxFullMeshEntries = 4;
/** Number of entries, chosen by rendezvous hashing, to which an agent opens data connections in a larger region. */
const rendezvousEntryCount = 3;

/** Options of `PeerNetwork`. */
export interface PeerNetworkOptions {
  /** Returns the current hello of this process; its purpose is replaced for each connection. */
  readonly hello: () => Hello;
  /** Address `ip:port` to listen on; only entries listen. */
  readonly listen?: string;
  /** Addresses of the entries to connect to first; further ones are learnt from hellos. */
  readonly seeds: readonly string[];
  /** Hybrid logical clock whose stamps are sent with the messages. */
  readonly clock?: StampClock;
}

/** All connections of one process to other processes of the system. */
export class PeerNetwork {
  private readonly links: PeerLinks;
  private readonly diallers = new Map<string, PeerDialler>();
  private readonly knownAddresses = new Set<string>();
  private readonly entries = new Map<string, {readonly region: string; readonly address: string}>();
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  /** Creates the network; `start` opens its sockets. */
  constructor(
    private readonly options: PeerNetworkOptions,
    private readonly handlers: PeerHandlers,
  ) {
    this.links = new PeerLinks({
      ...copyHandlers(handlers),
      controlUp: (peer, hello) => {
        this.addKnownAddresses(hello);
        handlers.controlUp(peer, hello);
      },
    });
  }

  /** Listens if an address is configured, and connects to the seeds. Rejects when listening fails. */
  async start(): Promise<void> {
    if (this.options.listen !== undefined) await this.listen(this.options.listen);
    this.addValidAddresses(this.options.seeds);
    this.connectToKnownAddresses();
  }

  /** Sends a message on one connection to a process; returns whether that connection is open. */
  send(peer: string, channel: Channel, message: PeerMessage, body?: Uint8Array): boolean {
    return this.links.send(peer, channel, message, body);
  }

  /** Returns the names of the processes to which both connections are open. */
  getNames(): readonly string[] {
    return this.links.getNames();
  }

  /** Returns the hellos of the processes whose control connection is open. */
  getHellos(): readonly Hello[] {
    return this.links.getHellos();
  }

  /** Returns all known addresses of entries; an entry's own listening address comes first. */
  getKnownAddresses(): readonly string[] {
    return [...this.knownAddresses];
  }

  /** Writes the queued frames, closes all connections and stops listening. */
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
    this.knownAddresses.add(address);
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

  private addKnownAddresses(hello: Hello): void {
    const [address] = hello.peers;
    if (hello.role === 'entry' && isProcessAddress(address)) {
      this.entries.set(hello.name, {region: hello.region, address});
    }
    this.addValidAddresses(hello.peers);
    this.connectToKnownAddresses();
  }

  /** Adds the addresses that can be dialled, and counts the others. */
  private addValidAddresses(addresses: readonly unknown[]): void {
    for (const address of addresses) {
      if (isProcessAddress(address)) this.knownAddresses.add(address);
      else this.handlers.refused('invalid-address');
    }
  }

  /**
   * Entries connect to all entries. Agents open a control connection to every entry, since any of them may
   * own their cell, and data connections to entries of their own region only.
   */
  private connectToKnownAddresses(): void {
    const ownAddress = this.options.listen;
    for (const address of this.knownAddresses) {
      // Only the entry with the lower address dials, so that each pair of entries has one connection per purpose.
      if (ownAddress !== undefined && address <= ownAddress) continue;
      this.dial(address, 'control');
      if (ownAddress !== undefined) this.dial(address, 'data');
    }
    if (ownAddress === undefined)
      for (const address of this.selectDataAddresses()) this.dial(address, 'data');
  }

  private dial(address: string, purpose: Channel): void {
    const name = `${address} ${purpose}`;
    if (this.diallers.has(name)) return;
    const getHello = () => ({...this.options.hello(), purpose});
    const dialler = new PeerDialler(address, getHello, this.links, this.options.clock);
    this.diallers.set(name, dialler);
    dialler.start();
  }

  private selectDataAddresses(): readonly string[] {
    const {name, region} = this.options.hello();
    const addresses = [...this.entries.values()]
      .filter(entry => entry.region === region)
      .map(entry => entry.address);
    if (addresses.length <= maxFullMeshEntries) return addresses;
    return addresses
      .sort((a, b) => getRendezvousWeight(name, b) - getRendezvousWeight(name, a))
      .slice(0, rendezvousEntryCount);
  }
}

/** Returns the rendezvous hashing weight of an entry address for an agent (FNV-1a with a final mix). */
export function getRendezvousWeight(agent: string, address: string): number {
  let hash = 0x811c9dc5;
  for (const character of `${agent}|${address}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}

/** Copies the callbacks to a plain object, because spreading a class instance would lose its methods. */
function copyHandlers(handlers: PeerHandlers): PeerHandlers {
  return {
    controlUp: (peer, hello) => handlers.controlUp(peer, hello),
    controlDown: peer => handlers.controlDown(peer),
    peerUp: (peer, hello) => handlers.peerUp(peer, hello),
    peerDown: peer => handlers.peerDown(peer),
    message: (peer, channel, message, body) => handlers.message(peer, channel, message, body),
    refused: reason => handlers.refused(reason),
  };
}
