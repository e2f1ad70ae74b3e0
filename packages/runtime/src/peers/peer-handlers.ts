import type {Channel, Hello} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';

/** Callbacks for the connections to other processes. */
export interface PeerHandlers {
  /** The control connection to a process is open. */
  controlUp(peer: string, hello: Hello): void;
  /** The control connection to a process was lost. */
  controlDown(peer: string): void;
  /** Both connections to a process are open. */
  peerUp(peer: string, hello: Hello): void;
  /** One of the connections to a process was lost. */
  peerDown(peer: string): void;
  /** A message arrived from a process together with its whole body, if it has one. */
  message(peer: string, channel: Channel, message: PeerMessage, body?: Uint8Array): void;
  /** A connection or a frame was refused; the reason names a counter. */
  refused(reason: string): void;
}
