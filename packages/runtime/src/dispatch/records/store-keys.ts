/** Prefix of all keys that the owner watches. */
export const workPrefix = 'work/';
/** Key of the owner record; bound to the owner's lease. */
export const ownerKey = 'work/owner';
/** Prefix of the submissions. */
export const submissionPrefix = 'work/job/';
/** Prefix of the cancel requests for submissions. */
export const cancelPrefix = 'work/cancel/';
/** Prefix of the progress records of submissions. */
export const progressPrefix = 'progress/';
/** Key of the generation, the number of ownership claims that have succeeded. */
export const generationKey = 'generation';
/** Key of the owners that may have granted leases which are still valid; the last one is the latest owner. */
export const ownersKey = 'owners';
/** Key of the roster: the workers on which an owner may have started runs. */
export const rosterKey = 'roster';
/** Prefix of the records of running entries; each is bound to the lease of its entry. */
export const entryPrefix = 'entry/';
/** Key of the journal record: the latest write of the progress, which orders the writes of an owner. */
export const journalKey = 'journal';
