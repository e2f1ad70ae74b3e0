import type {Hello} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';
import type {PeerConnection, PeerConnectionHandlers} from './peer-connection.js';
import type {PeerHandlers} from './peer-handlers.js';

interface Link {
  readonly hello: Hello;
  control: PeerConnection | undefined;
  data: PeerConnection | undefined;
}

const dataKinds: ReadonlySet<string> = new Set([
  'dispatch',
  'chunk',
  'reply',
  'rejected',
  'failed',
  'cancel',
  'recover',
  'recovered',
  'forward',
  // On the data connection, so that a host with a stuck data path becomes suspect.
  'heartbeat',
]);

/** Pairs the control and the data connection to each process. A process is up while both are open. */
export class PeerLinks implements PeerConnectionHandlers {
  private readonly links = new Map<string, Link>();

  /** Creates an empty table that reports to `handlers`. */
  constructor(private readonly handlers: PeerHandlers) {}

  /** Names of the processes that are up. */
  getNames(): readonly string[] {
    return [...this.links].filter(([, link]) => link.control && link.data).map(([name]) => name);
  }

  /** Sends a message on the connection for its kind; returns whether the process is up. */
  send(peer: string, message: PeerMessage, body?: Uint8Array): boolean {
    const link = this.links.get(peer);
    if (link?.control === undefined || link.data === undefined) return false;
    (dataKinds.has(message.kind) ? link.data : link.control).send(message, body);
    return true;
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
    let link = this.links.get(hello.name);
    if (
      link !== undefined &&
      (link.hello.incarnation !== hello.incarnation || link[hello.purpose])
    ) {
      this.drop(hello.name, link);
      link = undefined;
    }
    link ??= {hello, control: undefined, data: undefined};
    link[hello.purpose] = connection;
    this.links.set(hello.name, link);
    if (link.control && link.data) this.handlers.peerUp(hello.name, hello);
  }

  /** @internal */
  message(connection: PeerConnection, message: PeerMessage, body?: Uint8Array): void {
    const name = connection.hello?.name;
    const link = name === undefined ? undefined : this.links.get(name);
    if (name === undefined || link === undefined) return;
    // Messages of a connection that was replaced belong to no peer that is up.
    if (link.data !== connection && link.control !== connection) return;
    this.handlers.message(name, message, body);
  }

  /** @internal */
  closed(connection: PeerConnection, refusal?: string): void {
    if (refusal !== undefined) this.handlers.refused(refusal);
    const name = connection.hello?.name;
    const link = name === undefined ? undefined : this.links.get(name);
    if (name === undefined || link === undefined) return;
    if (link.data !== connection && link.control !== connection) return;
    this.drop(name, link);
  }

  /** @internal */
  refused(reason: string): void {
    this.handlers.refused(reason);
  }

  private drop(name: string, link: Link): void {
    this.links.delete(name);
    const wasUp = link.control !== undefined && link.data !== undefined;
    link.control?.destroy();
    link.data?.destroy();
    if (wasUp) this.handlers.peerDown(name);
  }
}
