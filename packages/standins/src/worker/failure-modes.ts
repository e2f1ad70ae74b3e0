/** Failures that a test asks for. */
export interface FailureModes {
  /** Every task fails right after its start. */
  failStarts: boolean;
  /** The worker's API accepts connections and never answers. */
  hangWorker: boolean;
  /** The backend server closes the connection in the middle of an answer. */
  cutAnswers: boolean;
  /** The backend server never answers. */
  hangAnswers: boolean;
  /** Factor on service times and run times. */
  slowness: number;
  /** The backend server announces that it is leaving. */
  draining: boolean;
  /** Announcements are withheld, as by a process that is about to die. */
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
