import {randomBytes} from 'node:crypto';

/** Returns the random 48-bit number that distinguishes this process from its predecessors. */
export function createIncarnation(): number {
  return randomBytes(6).readUIntBE(0, 6);
}
