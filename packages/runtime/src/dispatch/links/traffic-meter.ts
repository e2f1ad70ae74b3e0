import type {Metrics} from '../../metrics/index.js';
import type {DecisionLogger} from '../decision-logger.js';

/** Interval in milliseconds between two log lines with the traffic by message kind. */
const logIntervalMs = 10_000;
const bytesPerKilobyte = 1_000;

/** Direction of a message, as seen from this process. */
export type TrafficDirection = 'sent' | 'received';

/** Counts the bytes of messages between processes by kind: as metrics, and as a log line while there is traffic. */
export class TrafficMeter {
  private readonly bytes = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly metrics: Metrics,
    private readonly log: DecisionLogger,
  ) {}

  /** Starts to log the traffic. */
  start(): void {
    this.timer = setInterval(() => this.logTraffic(), logIntervalMs);
    this.timer.unref();
  }

  /** Stops to log the traffic. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Counts one message of `bytes` bytes, its frame prefix included. */
  record(direction: TrafficDirection, kind: string, bytes: number): void {
    const name = `${direction}_${kind}`;
    this.bytes.set(name, (this.bytes.get(name) ?? 0) + bytes);
    this.metrics.count(`link_bytes_${name}`, bytes);
  }

  /** Counts and logs a message that could not be handled. */
  recordFailure(detail: string): void {
    this.metrics.count('link_messages_failed');
    this.log.warn('message-failed', {detail});
  }

  private logTraffic(): void {
    if (this.bytes.size === 0) return;
    const kilobytes = [...this.bytes].map(([name, bytes]) => [
      name,
      Number((bytes / bytesPerKilobyte).toFixed(1)),
    ]);
    this.bytes.clear();
    this.log.log('link-traffic', {
      intervalMs: logIntervalMs,
      kilobytes: Object.fromEntries(kilobytes) as Record<string, number>,
    });
  }
}
