/** A running process of the system. */
export interface Daemon {
  /** Opens the sockets of the process. Rejects when an address cannot be listened on. */
  start(): Promise<void>;
  /** Finishes all requests in flight and closes all sockets. Resolves when both are done. */
  drain(): Promise<void>;
}
