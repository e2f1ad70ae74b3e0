import type {ConnectionAccount} from '@chervilbeam/coordination';
import type {ConnectionGate} from '../../connections/connection-gate.js';

/** Accounts for one link of another process in the limits of all connections. */
export class LinkLimit {
  private account: ConnectionAccount | undefined;
  private heldBytes = 0;

  constructor(private readonly gate: ConnectionGate) {}

  /** Adds the link; `close` ends it, and is called at once when there is no room for it. */
  open(close: (reason: string) => void): void {
    this.account = this.gate.open('peer', close);
  }

  /** Sets how many bytes the link holds: incomplete messages, and those that the other side has not read. */
  setHeldBytes(bytes: number): void {
    if (this.account === undefined) return;
    // The time of a link that holds nothing counts from its latest message.
    if (bytes === 0 || this.heldBytes === 0) this.gate.setPhase(this.account, 'receiving');
    if (bytes === this.heldBytes) return;
    this.gate.hold(this.account, bytes - this.heldBytes);
    this.heldBytes = bytes;
  }

  /** Records that the other process is an agent. */
  identifyAgent(): void {
    if (this.account) this.gate.identifyAgent(this.account);
  }

  /** Removes the link. */
  close(): void {
    if (this.account) this.gate.close(this.account);
  }
}
