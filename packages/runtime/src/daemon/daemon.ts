/** A running process of the system. */
export interface Daemon {
  /** Opens all sockets. */
  start(): Promise<void>;
  /** Finishes all requests in flight and closes everything. Resolves when nothing is left. */
  drain(): Promise<void>;
}
