import type {ViewContext} from './context.js';
import {getSnapshotKey, type Head} from './head.js';
import type {Relay} from './relay.js';
import {joinSnapshot} from './snapshot.js';

/** Time that peers have to fill a gap before the snapshot is read from the store. */
const peerGraceMs = 1500;

/** Shortest delay after a snapshot that could not be read, plus as much jitter. */
const minRetryDelayMs = 500;

/** What the reader needs from the view. */
export interface ReaderAccess {
  /** Tells the process and its peers of a new version. */
  publish(at: number): void;
  /** Reads the head and takes it in. */
  readHead(at: number): void;
}

/** Fills a gap that the inline log of the head no longer covers. */
export class SnapshotReader {
  #head: Head | undefined;
  #readAt = Number.POSITIVE_INFINITY;
  #isReading = false;
  #retryAt: number | undefined;

  constructor(
    private readonly context: ViewContext,
    private readonly relay: Relay,
    private readonly access: ReaderAccess,
  ) {}

  /** Remembers a head that is ahead of the version in force here. */
  catchUp(head: Head, at: number): void {
    const isOpen = this.#head !== undefined;
    if (!isOpen || head.version > (this.#head?.version ?? 0)) this.#head = head;
    if (isOpen) return;
    const isReported = this.relay.isReportedByPeer(head.snapshot?.version ?? head.version);
    this.#readAt = isReported ? at + peerGraceMs : at;
    this.tick(at);
  }

  /** Closes the gap if it has been filled, and starts a read that is due. */
  tick(at: number): void {
    if (this.#retryAt !== undefined && this.#retryAt <= at) {
      this.#retryAt = undefined;
      this.access.readHead(at);
    }
    const head = this.#head;
    if (!head) return;
    if (this.context.log.version >= head.version) {
      this.#head = undefined;
    } else if (!this.#isReading && this.#readAt <= at && head.snapshot) {
      this.#read(head, head.snapshot.version, head.snapshot.parts, at);
    }
  }

  #read(head: Head, version: number, count: number, at: number): void {
    this.#isReading = true;
    this.context.count('snapshot-read');
    const parts: unknown[] = new Array<unknown>(count).fill(undefined);
    let outstanding = count;
    for (let part = 0; part < count; part++) {
      this.context.readSnapshot(getSnapshotKey(version, part), at, (answer, answeredAt) => {
        if (answer.result === 'ok') parts[part] = answer.value;
        if (--outstanding === 0) this.#finish(head, version, parts, answeredAt);
      });
    }
  }

  #finish(head: Head, version: number, parts: readonly unknown[], at: number): void {
    this.#isReading = false;
    // The next head, read after this one, may refer to a newer snapshot.
    this.#head = undefined;
    const configuration = joinSnapshot(version, parts);
    if (!configuration) {
      this.#retryAt = at + minRetryDelayMs + this.context.jitter.below(minRetryDelayMs);
      return this.context.count('snapshot-incomplete');
    }
    const before = this.context.log.version;
    this.context.log.adopt(configuration);
    this.context.log.advance(head.changes);
    if (this.context.log.version > before) this.access.publish(at);
  }
}
