const prime = 0x100000001b3n;
const mask = 0xffffffffffffffffn;

/**
 * Returns a 64-bit FNV-1a digest in hexadecimal. It detects files that were edited or truncated. It is not
 * cryptographic and does not protect against deliberate forgery.
 */
export function getDigest(text: string): string {
  let hash = 0xcbf29ce484222325n;
  for (const byte of new TextEncoder().encode(text)) hash = ((hash ^ BigInt(byte)) * prime) & mask;
  return hash.toString(16).padStart(16, '0');
}
