import type {ProgressWrite} from '@chervilbeam/coordination';
import type {CommitResult, RecordStore, StoredRecord} from './record-store.js';
import {
  cancelPrefix,
  journalKey,
  ownerKey,
  progressPrefix,
  rosterKey,
  submissionPrefix,
} from './store-keys.js';

/**
 * Writes the progress of submissions for the owner, in order: each write replaces the journal record, on condition that
 * it still has the revision of the write before. An attempt without a reply may therefore take effect late only as long as no newer
 * write has.
 */
export class ProgressWriter {
  private term = 0;
  /** Revision of the journal record after the latest write of the term. */
  private journalRevision = 0;

  constructor(private readonly store: RecordStore) {}

  /**
   * Writes under an ownership term. `sequence` identifies the write within the term: it is repeated with the same number
   * until its result is known. `conflict` means that another process has become the owner.
   */
  async write(term: number, sequence: number, write: ProgressWrite): Promise<CommitResult> {
    if (term !== this.term) {
      // Writes of previous owners fail since the claim, so the journal record has its last revision of theirs.
      const read = await this.store.read(journalKey);
      if (read.kind !== 'ok') return {kind: 'refused', detail: `journal not read: ${read.detail}`};
      this.term = term;
      this.journalRevision = read.record?.revision ?? 0;
    }
    const entry = JSON.stringify({term, sequence});
    const result = await this.store.commit({
      conditions: [
        // Fences off a previous owner: the commit fails unless the owner key still has the revision of this term.
        {key: ownerKey, revision: term},
        {key: journalKey, revision: this.journalRevision},
      ],
      writes: [
        {key: journalKey, value: entry},
        ...write.progress.map(({id, record}) => ({
          key: progressPrefix + id,
          value: JSON.stringify(record),
        })),
        ...write.progress.flatMap(({id, finished}) =>
          finished ? [{key: submissionPrefix + id, value: JSON.stringify(finished)}] : [],
        ),
        ...(write.roster ? [{key: rosterKey, value: JSON.stringify(write.roster)}] : []),
      ],
      removals: write.forgotten.flatMap(id => [
        submissionPrefix + id,
        cancelPrefix + id,
        progressPrefix + id,
      ]),
    });
    const written =
      result.kind === 'conflict' ? this.findEarlierAttempt(result.current, term, entry) : result;
    if (written.kind === 'ok' && term === this.term) {
      this.journalRevision = Math.max(this.journalRevision, written.revision);
    }
    return written;
  }

  /** Returns the success of an earlier attempt of the same write, or else the conflict. */
  private findEarlierAttempt(
    current: readonly StoredRecord[],
    term: number,
    entry: string,
  ): CommitResult {
    const owner = current.find(record => record.key === ownerKey);
    const journal = current.find(record => record.key === journalKey);
    const isStored = owner?.revision === term && journal?.value === entry;
    return isStored ? {kind: 'ok', revision: journal.revision} : {kind: 'conflict', current};
  }
}
