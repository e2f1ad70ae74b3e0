/** Age in milliseconds of a run from which a crash of its worker is hardly its doing; most of such tasks crash at once. */
const earlyCrashMs = 250;
/** Age in milliseconds of a run from which a crash of its worker is not held against it at all. */
const lateCrashMs = 10_000;

/** Number of late crashes from which a task is a suspect. */
const minLateCrashes = 3;

/** How soon after the start of a run its worker crashed. */
export type CrashTiming = 'early' | 'late';

/** Returns how a crash counts for a run that had worked for `ageMs` milliseconds; undefined when it does not count. */
export function getCrashTiming(ageMs: number): CrashTiming | undefined {
  if (ageMs < earlyCrashMs) return 'early';
  return ageMs < lateCrashMs ? 'late' : undefined;
}

/**
 * Worker incarnations that have crashed under a task. Sets of incarnations, because a crash can be reported again, also
 * to the next owner.
 */
export class CrashHistory {
  private readonly early: Set<string>;
  private readonly late: Set<string>;

  constructor(early: readonly string[] = [], late: readonly string[] = []) {
    this.early = new Set(early);
    this.late = new Set(late);
  }

  /** Number of incarnations. */
  get count(): number {
    return this.early.size + this.late.size;
  }

  /** Number of incarnations that crashed soon after the start of the run. */
  get earlyCount(): number {
    return this.early.size;
  }

  /** Whether any of them crashed soon after the start of the run. */
  get hasEarly(): boolean {
    return this.early.size > 0;
  }

  /** Whether the task may be the one that crashes its workers. */
  get isSuspect(): boolean {
    return this.early.size > 0 || this.late.size >= minLateCrashes;
  }

  /** Incarnations that crashed early and late in a run of the task, as they are stored. */
  get lives(): readonly [early: readonly string[], late: readonly string[]] {
    return [[...this.early], [...this.late]];
  }

  /** Adds an incarnation unless it is known. */
  add(life: string, timing: CrashTiming): void {
    if (this.early.has(life) || this.late.has(life)) return;
    this[timing].add(life);
  }

  /** Removes an incarnation that has not crashed; returns whether it was known. */
  delete(life: string): boolean {
    return this.early.delete(life) || this.late.delete(life);
  }

  /** Whether a run that has worked for `ageMs` milliseconds has outlived the crashes. */
  isOutlived(ageMs: number): boolean {
    return ageMs >= (this.late.size >= minLateCrashes ? lateCrashMs : earlyCrashMs);
  }

  /** Removes the crashes that a run outlived by working for `ageMs` milliseconds; returns whether there were any. */
  clearOutlived(ageMs: number): boolean {
    const count = this.count;
    if (this.isOutlived(ageMs)) this.early.clear();
    if (ageMs >= lateCrashMs) this.late.clear();
    return this.count < count;
  }

  /** Removes all incarnations; returns whether there were any. */
  clear(): boolean {
    return this.clearOutlived(Number.POSITIVE_INFINITY);
  }
}
