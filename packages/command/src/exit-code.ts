/** Exit codes of the command, as listed in docs/operators/configuration.md. */
export const exitCodes = {
  /** The command succeeded. */
  success: 0,
  /** A file or request has findings; nothing was changed. */
  findings: 1,
  /** Wrong arguments. */
  usage: 2,
  /** The configuration has changed since the plan was made, or the operator declined; nothing was changed. */
  refused: 3,
  /** No entry could be reached, or the store is down; nothing was changed. */
  unavailable: 4,
  /** The change may or may not have been accepted; confirming the same plan again is safe. */
  unknown: 5,
  /** Ended by Ctrl-C. */
  interrupted: 130,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
