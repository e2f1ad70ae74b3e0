import type {DispatchEvent} from './dispatch-events.js';

/** Whether an event changes what a process knows also while it is not the owner. */
export function isKeptWithoutOwnership({kind}: DispatchEvent): boolean {
  return kind === 'begin' || kind === 'configuration' || kind === 'evacuations';
}
