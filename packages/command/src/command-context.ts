/** Output, terminal and environment of the command; tests supply their own. */
export interface CommandContext {
  /** Writes to standard output. */
  print(text: string): void;
  /** Writes to standard error. */
  printError(text: string): void;
  /** Whether standard input and output are a terminal, so that the command can ask questions. */
  readonly isTerminal: boolean;
  /** Environment variables. */
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Aborted by Ctrl-C. */
  readonly signal: AbortSignal;
  /** Asks a question on the terminal and returns the answer. */
  ask(question: string): Promise<string>;
}

/** Options shared by the commands; those that call no entry have only `json`. */
export interface SharedOptions {
  /** Control ports of entries; `CHERVILBEAM_ENTRIES` when not given. */
  readonly entry?: readonly string[];
  /** Print JSON instead of text. */
  readonly json?: boolean;
}
