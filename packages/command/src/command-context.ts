/** Surroundings of the command, replaced in tests. */
export interface CommandContext {
  /** Writes to standard output. */
  print(text: string): void;
  /** Writes to standard error. */
  printError(text: string): void;
  /** Whether a person reads the output and can answer questions. */
  readonly isTerminal: boolean;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Aborted by Ctrl-C. */
  readonly signal: AbortSignal;
  /** Asks a question on the terminal and returns the answer. */
  ask(question: string): Promise<string>;
}

/** Options that every command has. */
export interface SharedOptions {
  readonly entry?: readonly string[];
  readonly json?: boolean;
}
