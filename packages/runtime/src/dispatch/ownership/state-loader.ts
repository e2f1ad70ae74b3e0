import type {Clock} from '@chervilbeam/coordination';
import type {DecisionLogger} from '../decision-logger.js';
import type {RecordStore} from '../records/record-store.js';
import {type StoredState, StoredStateReader} from '../records/stored-state.js';

/** Options of `StateLoader`. */
export interface StateLoaderOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  /** Memory in bytes for submissions; beyond it, the largest are deferred. */
  readonly maxBytes: number;
}

/** Loads the stored state for a new owner, and starts with it before the claim has taken effect. */
export class StateLoader {
  private reader: StoredStateReader | undefined;

  constructor(private readonly options: StateLoaderOptions) {}

  /** Starts to read ahead, unless this has begun; resolves at its end to whether it has succeeded. */
  prepare(): Promise<boolean> {
    this.reader ??= new StoredStateReader(this.options);
    return this.reader.waitUntilRead();
  }

  /** Drops what has been read ahead, because another process is the owner. */
  discard(): void {
    this.reader?.cancel();
    this.reader = undefined;
  }

  /** Returns the state for an ownership with a term; undefined once `shouldContinue` returns false. */
  async load(term: number, shouldContinue: () => boolean): Promise<StoredState | undefined> {
    const {clock, log} = this.options;
    const startedAt = clock.now();
    const reader = this.reader ?? new StoredStateReader(this.options);
    this.reader = undefined;
    const stored = await reader.finish(term, shouldContinue);
    if (stored === undefined || !shouldContinue()) return undefined;
    log.log('submissions-read', {
      term,
      submissions: stored.submissions.length,
      deferred: stored.deferred.length,
      ageMs: Math.round(clock.now() - startedAt),
    });
    return stored;
  }
}
