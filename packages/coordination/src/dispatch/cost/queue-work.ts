import {
  getPreference,
  getSizeClass,
  noPreferences,
  ServedRates,
  type SizePreferences,
} from './preference.js';

/**
 * Number of submissions of a queue that are remembered: enough that single large ones do not move the mean much, and few
 * enough that it follows a change of the load within minutes.
 */
const memoryCount = 200;

/** Number of submissions from which the size classes of a queue are known. */
const minCount = 10;

/** Shares of the submissions that are smaller than the two largest classes. */
const belowLarge = 0.7;
const belowLargest = 0.9;

/** Number of new submissions after which the statistics are computed again. */
const refreshCount = 8;

/** What was learned of the submissions of a queue; amounts of work are in core-milliseconds. */
export interface WorkStatistics extends SizePreferences {
  readonly meanWork: number;
}

interface Memory {
  /** Work of the latest submissions. */
  readonly works: number[];
  /** Position of the oldest one, which the next one replaces. */
  oldest: number;
  /** Number of submissions since the statistics were computed. */
  fresh: number;
  readonly rates: ServedRates;
  statistics: WorkStatistics;
}

/** Learns the work of the submissions of each queue from the latest ones, and how often their size classes are in time. */
export class QueueWork {
  private readonly queues = new Map<string, Memory>();

  /** Records the work of a new submission in core-milliseconds; submissions without work are not counted. */
  observe(queue: string, work: number): void {
    if (!(work > 0)) return;
    const memory = this.queues.get(queue) ?? {
      works: [],
      oldest: 0,
      fresh: 0,
      rates: new ServedRates(),
      statistics: {...noPreferences, meanWork: work},
    };
    this.queues.set(queue, memory);
    memory.works[memory.oldest] = work;
    memory.oldest = (memory.oldest + 1) % memoryCount;
    memory.fresh += 1;
    if (memory.works.length < memoryCount || memory.fresh >= refreshCount) {
      memory.fresh = 0;
      memory.statistics = {...memory.statistics, ...getWorkStatistics(memory.works)};
    }
  }

  /** Records whether a submission was in time. */
  recordOutcome(queue: string, id: string, work: number, isInTime: boolean): void {
    const memory = this.queues.get(queue);
    if (memory === undefined) return;
    const {statistics, rates} = memory;
    const isPreferred = getPreference(id, work, statistics) > 1;
    rates.record(getSizeClass(work, statistics), isPreferred, isInTime);
    const largeShare = rates.getShare('large');
    memory.statistics = {...statistics, largeShare, largestShare: rates.getShare('largest')};
  }

  /** Returns what was learned of a queue, or undefined before any submission was seen. */
  get(queue: string): WorkStatistics | undefined {
    return this.queues.get(queue)?.statistics;
  }

  /** Returns what was learned of all queues. */
  getAll(): Array<readonly [queue: string, statistics: WorkStatistics]> {
    return [...this.queues].map(([queue, {statistics}]) => [queue, statistics] as const);
  }

  /** Forgets all queues. */
  clear(): void {
    this.queues.clear();
  }
}

function getWorkStatistics(
  works: readonly number[],
): Pick<WorkStatistics, 'meanWork' | 'largeWork' | 'largestWork'> {
  const meanWork = works.reduce((sum, work) => sum + work, 0) / works.length;
  const sorted = [...works].sort((a, b) => a - b);
  const getQuantile = (share: number) => {
    if (works.length < minCount) return Number.POSITIVE_INFINITY;
    const work = sorted[Math.floor(sorted.length * share)] ?? 0;
    // Submissions of the smallest size are not large, however many there are of them.
    if (work > (sorted[0] ?? 0)) return work;
    return sorted.find(larger => larger > work) ?? Number.POSITIVE_INFINITY;
  };
  return {meanWork, largeWork: getQuantile(belowLarge), largestWork: getQuantile(belowLargest)};
}
