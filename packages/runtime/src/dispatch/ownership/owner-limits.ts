import type {DispatchTiming} from '@chervilbeam/coordination';

/** Share of the heap for loaded submissions; the rest is for runs, messages and the calls of callers. */
const loadedHeapShare = 0.35;
/** Share of the heap for accepted submissions; less than for loaded ones, as entries decide on figures that are not new. */
const acceptedHeapShare = 0.2;
/** Share of the heap for runs, and the memory in bytes that a run and its task need. */
const runsHeapShare = 0.25;
const runBytes = 2_500;

/** What an owner can hold. */
export type OwnerLimits = Pick<DispatchTiming, 'maxAcceptedBytes' | 'maxLoadedBytes' | 'maxRuns'>;

/** Returns the limits of an owner with a heap of `heapBytes`. */
export function getOwnerLimits(heapBytes: number): OwnerLimits {
  return {
    maxAcceptedBytes: heapBytes * acceptedHeapShare,
    maxLoadedBytes: heapBytes * loadedHeapShare,
    maxRuns: (heapBytes * runsHeapShare) / runBytes,
  };
}

const bytesPerMegabit = 125_000;
/**
 * Share of the host's link that start commands may use. The rest carries leases, stops, store calls and the calls of
 * callers, which must not wait behind starts.
 */
const startLinkShare = 0.4;

/** Returns the bytes of start commands that an owner may send in a second on a link of a speed in megabits per second. */
export function getStartBytesPerSecond(linkMegabits: number): number {
  return linkMegabits * bytesPerMegabit * startLinkShare;
}
