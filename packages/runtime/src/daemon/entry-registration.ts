import type {RegisteredEntry} from '@chervilbeam/coordination';
import type {StoreClient} from '../store/index.js';

/** Store key of the entries that are registered. */
const entriesKey = 'entries';
/** Time between two reads. Fences need the list, and it changes only when an entry is added or replaced. */
const readEveryMs = 5000;
const retryMs = 500;

/** Keeps this entry in the store value `entries` and reports the list. */
export class EntryRegistration {
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  /** Creates the registration of `own`. */
  constructor(
    private readonly client: StoreClient,
    private readonly own: RegisteredEntry,
    private readonly report: (entries: readonly RegisteredEntry[]) => void,
  ) {}

  /** Registers and keeps reading until stopped. */
  start(): void {
    void this.refresh();
  }

  /** Stops reading. The entry stays registered: a fence must reach it until an operator declares it lost. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async refresh(): Promise<void> {
    const done = await this.read();
    if (this.stopped) return;
    this.timer = setTimeout(() => void this.refresh(), done ? readEveryMs : retryMs);
  }

  private async read(): Promise<boolean> {
    const answer = await this.client.read(entriesKey);
    if (answer.result !== 'ok') return false;
    const entries = Array.isArray(answer.value) ? (answer.value as RegisteredEntry[]) : [];
    const {name, incarnation} = this.own;
    if (entries.some(entry => entry.name === name && entry.incarnation === incarnation)) {
      this.report(entries);
      return true;
    }
    const next = [...entries.filter(entry => entry.name !== name), this.own];
    const written = await this.client.write(entriesKey, next, answer.revision);
    if (written.result === 'ok') this.report(next);
    return written.result === 'ok';
  }
}
