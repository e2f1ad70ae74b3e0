/** What decided that a submission ended without having been completed. */
export type EndCause =
  /** A task has used all its attempts. */
  | {
      readonly cause: 'attempts';
      readonly task: string;
      readonly failedRuns: number;
      readonly maxAttempts: number;
    }
  /** A task has crashed one worker after another. */
  | {readonly cause: 'crashes'; readonly task: string; readonly crashes: number}
  /** A caller has cancelled it. */
  | {readonly cause: 'cancel'};
