import type {Channel, Hello} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';
import type {PeerConnection, PeerConnectionHandlers} from './peer-connection.js';
import type {PeerHandlers} from './peer-handlers.js';

interface PeerLink {
  readonly hello: Hello;
  control: PeerConnection | undefined;
  data: PeerConnection | undefined;
}

/** Table of the control and the data connection to each process, by the process name. */
export class PeerLinks implements PeerConnectionHandlers {
  private readonly links = new Map<string, PeerLink>();

  /** Creates an empty table that reports changes and messages to `handlers`. */
  constructor(private readonly handlers: PeerHandlers) {}

  /** Returns the names of the processes to which both connections are open. */
  getNames(): readonly string[] {
    return [...this.links].filter(([, link]) => link.control && link.data).map(([name]) => name);
  }

  /** Returns the hellos of the processes whose control connection is open. */
  getHellos(): readonly Hello[] {
    return [...this.links.values()].filter(link => link.control).map(link => link.hello);
  }

  /** Sends a message on one connection to a process; returns whether that connection is open. */
  send(peer: string, channel: Channel, message: PeerMessage, body?: Uint8Array): boolean {
    const connection = this.links.get(peer)?.[channel];
    connection?.send(message, body);
    return connection !== undefined;
  }

  /** Writes the queued frames and closes all connections. */
  end(): void {
    for (const link of this.links.values()) {
      link.control?.end();
      link.data?.end();
    }
  }

  /** @internal */
  helloAccepted(connection: PeerConnection, hello: Hello): void {
    const {name, purpose} = hello;
    const existing = this.links.get(name);
    if (existing !== undefined && existing.hello.incarnation !== hello.incarnation) {
      this.removeConnection(name, 'control');
      this.removeConnection(name, 'data');
    } else if (existing?.[purpose] !== undefined) {
      this.removeConnection(name, purpose);
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
    // A replaced connection may still deliver messages, but its peer has already been reported as down.
    if (name === undefined || purpose === undefined) return;
    if (this.links.get(name)?.[purpose] !== connection) return;
    this.handlers.message(name, purpose, message, body);
  }

  /** @internal */
  closed(connection: PeerConnection, refusal?: string): void {
    if (refusal !== undefined) this.handlers.refused(refusal);
    const {name, purpose} = connection.hello ?? {};
    if (name === undefined || purpose === undefined) return;
    if (this.links.get(name)?.[purpose] === connection) this.removeConnection(name, purpose);
  }

  /** @internal */
  refused(reason: string): void {
    this.handlers.refused(reason);
  }

  private removeConnection(name: string, purpose: Channel): void {
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
