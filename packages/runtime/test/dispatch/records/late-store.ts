import type {CommitResult, RecordCommit} from '../../../src/dispatch/index.js';
import {MemoryStore} from './memory-store.js';

/** A store on which commits can be held back: they return no reply and take effect when `deliver` is called. */
export class LateStore extends MemoryStore {
  /** Number of the next commits that are held back. */
  held = 0;
  private readonly late: RecordCommit[] = [];

  override async commit(commit: RecordCommit): Promise<CommitResult> {
    if (this.held === 0) return super.commit(commit);
    this.held -= 1;
    this.late.push(commit);
    return {kind: 'unknown', detail: 'no reply'};
  }

  /** Executes the commits that were held back, in the order in which they were sent. */
  async deliver(): Promise<CommitResult[]> {
    const results: CommitResult[] = [];
    for (const commit of this.late.splice(0)) results.push(await super.commit(commit));
    return results;
  }
}
