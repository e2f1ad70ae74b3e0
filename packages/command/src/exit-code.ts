/** Exit codes of the command, as listed in docs/operators/configuration.md. */
export const exitCodes = {
  /** Done as asked. */
  success: 0,
  /** A file or request has findings; nothing was changed. */
  findings: 1,
  /** Wrong arguments. */
  usage: 2,
  /** The plan was refused because the configuration has moved, or the operator declined; nothing was changed. */
  refused: 3,
  /** No entry could be reached, or the store is down; nothing was changed. */
  unavailable: 4,
  /** It is not known whether the change was accepted; confirm the same plan again. */
  unknown: 5,
  /** Ended by Ctrl-C. */
  interrupted: 130,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
