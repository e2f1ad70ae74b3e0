/** Set of the finished items of a batch job, with a compact text form for the ledger. */
export class ItemSet {
  private readonly digits: number[] = [];
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
      for (let bit = 0; bit < 4; bit += 1) {
        if ((bits >> bit) & 1) items.add(digit * 4 + bit);
      }
    }
    return items;
  }

  /** Whether the item is in the set. */
  has(index: number): boolean {
    return ((this.digits[index >> 2] ?? 0) & (1 << (index & 3))) !== 0;
  }

  /** Adds an item; returns false when it was in the set already. */
  add(index: number): boolean {
    if (this.has(index)) return false;
    while (this.digits.length <= index >> 2) this.digits.push(0);
    this.digits[index >> 2] = (this.digits[index >> 2] ?? 0) | (1 << (index & 3));
    this.count += 1;
    return true;
  }

  /** Returns the text form. */
  toText(): string {
    return this.digits.map(bits => bits.toString(16)).join('');
  }
}
