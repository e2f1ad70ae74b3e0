/** Multiple of the objective up to which late work is accepted, because late results are still useful to callers. */
export const maxObjectiveMultiple = 2;

/** Bounds in seconds of the retry delay given to a refused caller. */
export const minRetryAfterSeconds = 1;
export const maxRetryAfterSeconds = 30;
