import type {Hello} from '@chervilbeam/coordination';
import type {PeerMessage} from '../framing/index.js';

/** What the connections to other processes tell the loop. */
export interface PeerHandlers {
  /** Both connections to a process are open. */
  peerUp(peer: string, hello: Hello): void;
  /** A connection to a process was lost. */
  peerDown(peer: string): void;
  /** A whole message arrived from a process. */
  message(peer: string, message: PeerMessage, body?: Uint8Array): void;
  /** Something was refused; the reason names a counter. */
  refused(reason: string): void;
}
