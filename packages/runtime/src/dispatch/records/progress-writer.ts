import type {ProgressWrite} from '@chervilbeam/coordination';
import type {CommitResult, RecordStore} from './record-store.js';
import {cancelPrefix, ownerKey, progressPrefix, rosterKey, submissionPrefix} from './store-keys.js';

/** Writes the progress of submissions for the owner. */
export class ProgressWriter {
  constructor(private readonly store: RecordStore) {}

  /** Writes under an ownership term; `conflict` means that another process has become the owner. */
  write(term: number, write: ProgressWrite): Promise<CommitResult> {
    return this.store.commit({
      // Fences off a previous owner: the commit fails unless the owner key still has the revision of this term.
      conditions: [{key: ownerKey, revision: term}],
      writes: [
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
  }
}
