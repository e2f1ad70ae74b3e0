import {randomBytes} from 'node:crypto';

/** Returns a random 48-bit number that distinguishes this process from earlier ones of the same name. */
export function createIncarnation(): number {
  return randomBytes(6).readUIntBE(0, 6);
}
