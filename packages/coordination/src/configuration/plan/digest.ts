const prime = 0x100000001b3n;
const mask = 0xffffffffffffffffn;

/**
 * Returns a 64-bit FNV-1a digest in hexadecimal. It finds files that were edited or cut short; it is no
 * protection against a person who wants to forge one.
 */
export function getDigest(text: string): string {
  let hash = 0xcbf29ce484222325n;
  for (const byte of new TextEncoder().encode(text)) hash = ((hash ^ BigInt(byte)) * prime) & mask;
  return hash.toString(16).padStart(16, '0');
}
