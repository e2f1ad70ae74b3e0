/** Prefix of everything that an owner watches. */
export const workPrefix = 'work/';
/** Key of the owner; it hangs on the owner's lease. */
export const ownerKey = 'work/owner';
/** Prefix of the submissions. */
export const submissionPrefix = 'work/job/';
/** Prefix of the requests to cancel a submission. */
export const cancelPrefix = 'work/cancel/';
/** Prefix of the progress of submissions. */
export const progressPrefix = 'progress/';
/** Key of the number of owners so far. */
export const generationKey = 'generation';
/** Key of the workers on which an owner may have started runs. */
export const rosterKey = 'roster';
/** Prefix of the entries that are up; each hangs on the lease of its entry. */
export const entryPrefix = 'entry/';
