/** Items in one byte, and in one digit of the text form. */
const itemsPerByte = 8;
const itemsPerDigit = 4;

const noBytes = new Uint8Array(0);

/** Set of the finished items of a batch job, with a compact text form for the ledger. */
export class ItemSet {
  private bytes = noBytes;
  /** One more than the highest item; 0 for the empty set. */
  private end = 0;
  private count = 0;

  /** Number of items in the set. */
  get size(): number {
    return this.count;
  }

  /** Reads the hexadecimal text form, four items a digit, lowest first. */
  static fromText(text: string): ItemSet {
    const items = new ItemSet();
    for (let digit = 0; digit < text.length; digit += 1) {
      const bits = Number.parseInt(text[digit] ?? '0', 16);
      for (let bit = 0; bit < itemsPerDigit; bit += 1) {
        if ((bits >> bit) & 1) items.add(digit * itemsPerDigit + bit);
      }
    }
    return items;
  }

  /** Whether the item is in the set. */
  has(index: number): boolean {
    const byte = this.bytes[Math.floor(index / itemsPerByte)] ?? 0;
    return (byte & (1 << (index % itemsPerByte))) !== 0;
  }

  /** Adds an item; returns false when it was in the set already. */
  add(index: number): boolean {
    if (this.has(index)) return false;
    const byte = Math.floor(index / itemsPerByte);
    if (byte >= this.bytes.length) {
      const grown = new Uint8Array(Math.max(byte + 1, this.bytes.length * 2));
      grown.set(this.bytes);
      this.bytes = grown;
    }
    this.bytes[byte] = (this.bytes[byte] ?? 0) | (1 << (index % itemsPerByte));
    this.end = Math.max(this.end, index + 1);
    this.count += 1;
    return true;
  }

  /** Returns the number of items below an index. */
  countBelow(end: number): number {
    if (end >= this.end) return this.count;
    let count = 0;
    for (let index = 0; index < end; index += 1) if (this.has(index)) count += 1;
    return count;
  }

  /** Returns the text form. */
  toText(): string {
    let text = '';
    for (let first = 0; first < this.end; first += itemsPerDigit) {
      const byte = this.bytes[Math.floor(first / itemsPerByte)] ?? 0;
      text += ((byte >> (first % itemsPerByte)) & 0xf).toString(16);
    }
    return text;
  }
}
