import {isRecord, type RegisteredEntry} from '@chervilbeam/coordination';
import {isProcessAddress} from '../addresses/index.js';
import type {StoreClient} from '../store/index.js';

/** Store key of the list of registered entries. */
const entriesKey = 'entries';
/** Time between two reads. Fencing needs the list, which changes only when an entry is added or replaced. */
const readIntervalMs = 5000;
/** Delay after a read or a write that failed, for example because another entry wrote the list. */
const retryDelayMs = 500;

/** Keeps this entry in the list of registered entries in the store and reports the list as last read or written. */
export class EntryRegistration {
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  /** Creates the registration of `ownEntry`; `report` receives the list. */
  constructor(
    private readonly client: StoreClient,
    private readonly ownEntry: RegisteredEntry,
    private readonly report: (entries: readonly RegisteredEntry[]) => void,
  ) {}

  /** Registers and keeps reading until stopped. */
  start(): void {
    void this.refresh();
  }

  /** Stops reading. The entry stays registered, since fencing must include it until an operator declares it lost. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async refresh(): Promise<void> {
    const done = await this.readAndRegister();
    if (this.stopped) return;
    this.timer = setTimeout(() => void this.refresh(), done ? readIntervalMs : retryDelayMs);
  }

  /** Reads the list and adds this entry if it is missing. Returns whether it is registered. */
  private async readAndRegister(): Promise<boolean> {
    const answer = await this.client.read(entriesKey);
    if (answer.result !== 'ok') return false;
    const entries = Array.isArray(answer.value) ? answer.value.filter(isRegisteredEntry) : [];
    const {name, incarnation} = this.ownEntry;
    if (entries.some(entry => entry.name === name && entry.incarnation === incarnation)) {
      this.report(entries);
      return true;
    }
    const next = [...entries.filter(entry => entry.name !== name), this.ownEntry];
    const written = await this.client.write(entriesKey, next, answer.revision);
    if (written.result === 'ok') this.report(next);
    return written.result === 'ok';
  }
}

/** Whether an item of the stored list is an entry; items of other writers name no process. */
function isRegisteredEntry(item: unknown): item is RegisteredEntry {
  return (
    isRecord(item) &&
    typeof item.name === 'string' &&
    typeof item.dataCentre === 'string' &&
    Number.isSafeInteger(item.incarnation) &&
    isProcessAddress(item.address)
  );
}
