/** Failures that a test injects into a stand-in. */
export interface FailureModes {
  /** Every task fails immediately after its start. */
  failStarts: boolean;
  /** The worker's API accepts connections and never answers. */
  hangWorker: boolean;
  /** The backend server closes the connection in the middle of an answer. */
  cutAnswers: boolean;
  /** The backend server never answers. */
  hangAnswers: boolean;
  /** Factor by which service times and run times are multiplied. */
  slowness: number;
  /** The backend server announces that it is draining. */
  draining: boolean;
  /** Announcements are withheld, as by a process that is about to crash. */
  silent: boolean;
}

/** No failure. */
export const noFailures: Readonly<FailureModes> = {
  failStarts: false,
  hangWorker: false,
  cutAnswers: false,
  hangAnswers: false,
  slowness: 1,
  draining: false,
  silent: false,
};
