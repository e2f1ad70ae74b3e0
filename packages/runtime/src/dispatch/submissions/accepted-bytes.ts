import type {MemoryUse} from '@chervilbeam/coordination';

/** Options of `AcceptedBytes`. */
export interface AcceptedBytesOptions {
  /** Memory in bytes that is assumed of the owner until it has stated its own. */
  readonly maxBytes: number;
  /** Returns the number of entries that accept submissions, including this one. */
  readonly getEntryCount: () => number;
}

/**
 * Decides whether the owner has memory for a further submission of one size. All entries accept side by side, on figures that are some
 * hundred milliseconds old. So an entry that accepts several submissions in that time uses only its share of the room.
 */
export class AcceptedBytes {
  private memory: MemoryUse;
  /** Memory for what this entry has accepted, or is about to accept, since the latest figures, and between these and the ones before. */
  private currentBytes = 0;
  private previousBytes = 0;

  constructor(private readonly options: AcceptedBytesOptions) {
    this.memory = {usedBytes: 0, maxBytes: options.maxBytes};
  }

  /** Sets the latest figures of the owner, which may lack what was accepted shortly before. */
  update(memory: MemoryUse): void {
    this.memory = memory;
    this.previousBytes = this.currentBytes;
    this.currentBytes = 0;
  }

  /** Reserves memory for a submission; returns false when the owner has no room for it. */
  reserve(bytes: number): boolean {
    if (!this.hasRoom(bytes)) return false;
    this.currentBytes += bytes;
    return true;
  }

  private hasRoom(bytes: number): boolean {
    const {usedBytes, maxBytes} = this.memory;
    const roomBytes = maxBytes - usedBytes;
    const ownBytes = this.currentBytes + this.previousBytes;
    if (ownBytes === 0) return bytes <= roomBytes;
    return ownBytes + bytes <= roomBytes / this.options.getEntryCount();
  }
}
