/**
 * Delay in milliseconds between renewals while ends of runs wait to be stored. A worker does not hold back its reply
 * while it lists an unacknowledged end, so renewals without a delay would form a busy loop.
 */
export const unacknowledgedEndsPauseMs = 80;

/** Pause between renewals while ends of runs wait to be stored; an acknowledgement ends it. */
export class AcknowledgementPause {
  private onAcknowledged: (() => void) | undefined;

  /** Waits until the owner acknowledges ends, at most for `unacknowledgedEndsPauseMs`. */
  async wait(): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, unacknowledgedEndsPauseMs);
      this.onAcknowledged = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.onAcknowledged = undefined;
  }

  /** Ends the pause, if there is one. */
  end(): void {
    this.onAcknowledged?.();
  }
}
