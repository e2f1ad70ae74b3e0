import type {ViewContext} from './context.js';
import {getSnapshotKey, type Head} from './head.js';
import type {Relay} from './relay.js';
import {joinSnapshot} from './snapshot.js';

/** Time that peers get to fill a gap before the snapshot is read from the store. */
const peerGraceMs = 1500;

/** Shortest delay before a snapshot is read again after a failure; up to the same time is added as jitter. */
const minRetryDelayMs = 500;

/** Operations of the view that the reader uses. */
export interface ReaderAccess {
  /** Announces a new version to the process and its peers. */
  publish(at: number): void;
  /** Reads the head and applies it. */
  readHead(at: number): void;
}

/** Reads a snapshot from the store when the inline changes of the head no longer reach back far enough. */
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

  /** Starts to catch up with a head that is ahead of the version in force here. */
  catchUp(head: Head, at: number): void {
    const isCatchingUp = this.#head !== undefined;
    if (!isCatchingUp || head.version > (this.#head?.version ?? 0)) this.#head = head;
    if (isCatchingUp) return;
    const isReported = this.relay.isReportedByPeer(head.snapshot?.version ?? head.version);
    this.#readAt = isReported ? at + peerGraceMs : at;
    this.tick(at);
  }

  /** Stops catching up once the version is reached, and starts a read that is due. */
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
    // A head that is read later may refer to a newer snapshot.
    this.#head = undefined;
    const configuration = joinSnapshot(version, parts);
    if (!configuration) {
      this.#retryAt = at + minRetryDelayMs + this.context.jitter.below(minRetryDelayMs);
      return this.context.count('snapshot-incomplete');
    }
    const previousVersion = this.context.log.version;
    this.context.log.adopt(configuration);
    this.context.log.advance(head.changes);
    if (this.context.log.version > previousVersion) this.access.publish(at);
  }
}
