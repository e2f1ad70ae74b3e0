import {fetch} from 'undici';
import type {FailureModes} from './failure-modes.js';
import type {WorkerSettings} from './worker-settings.js';

const announceIntervalMs = 1000;
const announceTimeoutMs = 900;

/** Announces the backend server to its agent every second, as a heartbeat. */
export class Announcer {
  private timer: NodeJS.Timeout | undefined;

  /** Creates the announcer of the backend server at `url`. */
  constructor(
    private readonly settings: WorkerSettings,
    private readonly url: string,
    private readonly failures: Readonly<FailureModes>,
  ) {}

  /** Sends the first announcement now, and another one every second. */
  start(): void {
    void this.announce();
    this.timer = setInterval(() => void this.announce(), announceIntervalMs);
  }

  /** Stops announcing. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends one announcement. A failed one is not retried, because the next follows within a second. */
  async announce(): Promise<void> {
    if (this.failures.silent) return;
    const {services, connections, capacity} = this.settings;
    const {draining} = this.failures;
    const body = {url: this.url, services, slots: capacity.slots, connections, draining};
    try {
      const response = await fetch(`${this.settings.agent}/v1/announce`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(announceTimeoutMs),
      });
      await response.arrayBuffer();
    } catch {
      // The agent may not be listening yet, or may be restarting.
    }
  }
}
