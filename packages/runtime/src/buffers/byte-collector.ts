/** Bytes of one block. */
const blockBytes = 16 * 1_024;
/** Blocks that are not in use. They are kept, as memory that is freed stays occupied until the next garbage collection. */
const freeBlocks: Buffer[] = [];

/** Collects bytes that arrive in parts. They are copied, since a part of a few bytes may keep a whole received block in memory. */
export class ByteCollector {
  private blocks: Buffer[] = [];
  private collectedBytes = 0;

  /** Number of bytes collected. */
  get length(): number {
    return this.collectedBytes;
  }

  /** Memory in bytes that the collected bytes take. */
  get heldBytes(): number {
    return this.blocks.length * blockBytes;
  }

  /** Adds a part. */
  add(part: Uint8Array): void {
    for (let copied = 0; copied < part.length;) {
      const offset = this.collectedBytes % blockBytes;
      if (offset === 0) this.blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes));
      const piece = part.subarray(copied, copied + blockBytes - offset);
      this.blocks[this.blocks.length - 1]!.set(piece, offset);
      copied += piece.length;
      this.collectedBytes += piece.length;
    }
  }

  /** Returns the collected bytes in one buffer and holds nothing any more. */
  take(): Buffer {
    const bytes = Buffer.concat(this.blocks, this.collectedBytes);
    this.clear();
    return bytes;
  }

  /** Drops the collected bytes. */
  clear(): void {
    freeBlocks.push(...this.blocks);
    this.blocks = [];
    this.collectedBytes = 0;
  }
}
