/** Largest numbers of parts of a JSON text that is parsed. */
export interface JsonLimits {
  /** Objects and lists. */
  readonly containers: number;
  /** Members of objects. */
  readonly members: number;
  /** Members and items of lists. */
  readonly values: number;
}

const quote = 0x22;
const backslash = 0x5c;
const colon = 0x3a;
const comma = 0x2c;
const openBracket = 0x5b;
const openBrace = 0x7b;

/**
 * Counts the parts of a JSON text that arrives in pieces, before it is parsed: a parsed object takes many times the bytes of
 * its text, so that the length alone does not bound its memory. Text that is not JSON gives any result.
 */
export class JsonMeter {
  private isInString = false;
  private isEscaped = false;
  private containers = 0;
  private members = 0;
  private values = 0;

  constructor(private readonly limits: JsonLimits) {}

  /** Adds a piece of the text in UTF-8; returns whether the text is still within the limits. */
  add(piece: Uint8Array): boolean {
    for (const byte of piece) {
      if (this.isInString) this.addInString(byte);
      else if (byte === quote) this.isInString = true;
      else if (byte === colon) this.members += 1;
      else if (byte === comma) this.values += 1;
      else if (byte === openBracket || byte === openBrace) this.containers += 1;
    }
    const {containers, members, values} = this.limits;
    return this.containers <= containers && this.members <= members && this.values <= values;
  }

  private addInString(byte: number): void {
    if (this.isEscaped) this.isEscaped = false;
    else if (byte === backslash) this.isEscaped = true;
    else if (byte === quote) this.isInString = false;
  }
}

/** Whether a text of `bytes` bytes is within the limits whatever it contains, as each part takes a byte of its own. */
export function isAlwaysWithin(limits: JsonLimits, bytes: number): boolean {
  return bytes <= Math.min(limits.containers, limits.members, limits.values);
}
