import {
  type AcceptedMemory,
  getMemoryLimits,
  getSubmissionBytes,
  getSubmissionSize,
  type SubmissionSize,
  submissionSizes,
  type ValidDraft,
} from '@chervilbeam/coordination';
import {AcceptedBytes, type AcceptedBytesOptions} from './accepted-bytes.js';

/** Decides whether the owner has memory for a submission. Small and large ones have limits of their own. */
export class MemoryAdmission {
  private readonly accepted: Readonly<Record<SubmissionSize, AcceptedBytes>>;

  /** `maxBytes` is for all submissions together. */
  constructor({maxBytes, getEntryCount}: AcceptedBytesOptions) {
    const limits = getMemoryLimits(maxBytes);
    this.accepted = {
      small: new AcceptedBytes({maxBytes: limits.small, getEntryCount}),
      large: new AcceptedBytes({maxBytes: limits.large, getEntryCount}),
    };
  }

  /** Sets the latest figures of the owner. */
  update(memory: AcceptedMemory): void {
    for (const size of submissionSizes) this.accepted[size].update(memory[size]);
  }

  /** Reserves memory for a submission; returns false when the owner has no room for it. */
  reserve(draft: ValidDraft): boolean {
    const bytes = getSubmissionBytes(draft);
    return this.accepted[getSubmissionSize(bytes)].reserve(bytes);
  }
}
