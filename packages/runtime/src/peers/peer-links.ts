import type {Channel, Hello} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';
import type {PeerConnection, PeerConnectionHandlers} from './peer-connection.js';
import type {PeerHandlers} from './peer-handlers.js';

interface Link {
  readonly hello: Hello;
  control: PeerConnection | undefined;
  data: PeerConnection | undefined;
}

/** Pairs the control and the data connection to each process. */
export class PeerLinks implements PeerConnectionHandlers {
  private readonly links = new Map<string, Link>();

  /** Creates an empty table that reports to `handlers`. */
  constructor(private readonly handlers: PeerHandlers) {}

  /** Names of the processes to which both connections are open. */
  getNames(): readonly string[] {
    return [...this.links].filter(([, link]) => link.control && link.data).map(([name]) => name);
  }

  /** Hellos of the processes whose control connection is open. */
  getHellos(): readonly Hello[] {
    return [...this.links.values()].filter(link => link.control).map(link => link.hello);
  }

  /** Sends a message on one connection to a process; returns whether that connection is open. */
  send(peer: string, channel: Channel, message: PeerMessage, body?: Uint8Array): boolean {
    const connection = this.links.get(peer)?.[channel];
    connection?.send(message, body);
    return connection !== undefined;
  }

  /** Sends what is queued and closes all connections. */
  end(): void {
    for (const link of this.links.values()) {
      link.control?.end();
      link.data?.end();
    }
  }

  /** @internal */
  greeted(connection: PeerConnection, hello: Hello): void {
    const {name, purpose} = hello;
    const old = this.links.get(name);
    if (old !== undefined && old.hello.incarnation !== hello.incarnation) {
      this.drop(name, 'control');
      this.drop(name, 'data');
    } else if (old?.[purpose] !== undefined) {
      this.drop(name, purpose);
    }
    const link = this.links.get(name) ?? {hello, control: undefined, data: undefined};
    link[purpose] = connection;
    this.links.set(name, link);
    if (purpose === 'control') this.handlers.controlUp(name, hello);
    if (link.control && link.data) this.handlers.peerUp(name, hello);
  }

  /** @internal */
  message(connection: PeerConnection, message: PeerMessage, body?: Uint8Array): void {
    const {name, purpose} = connection.hello ?? {};
    // Messages of a connection that was replaced belong to no peer that is up.
    if (name === undefined || purpose === undefined) return;
    if (this.links.get(name)?.[purpose] !== connection) return;
    this.handlers.message(name, purpose, message, body);
  }

  /** @internal */
  closed(connection: PeerConnection, refusal?: string): void {
    if (refusal !== undefined) this.handlers.refused(refusal);
    const {name, purpose} = connection.hello ?? {};
    if (name === undefined || purpose === undefined) return;
    if (this.links.get(name)?.[purpose] === connection) this.drop(name, purpose);
  }

  /** @internal */
  refused(reason: string): void {
    this.handlers.refused(reason);
  }

  private drop(name: string, purpose: Channel): void {
    const link = this.links.get(name);
    const connection = link?.[purpose];
    if (link === undefined || connection === undefined) return;
    const wasUp = link.control !== undefined && link.data !== undefined;
    link[purpose] = undefined;
    if (link.control === undefined && link.data === undefined) this.links.delete(name);
    connection.destroy();
    if (wasUp) this.handlers.peerDown(name);
    if (purpose === 'control') this.handlers.controlDown(name);
  }
}
