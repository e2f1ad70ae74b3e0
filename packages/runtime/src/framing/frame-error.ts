/**
 * Protocol error on a connection: malformed bytes, an invalid message or an exceeded limit. It closes the
 * connection, except for an unknown message kind after the handshake.
 */
export class FrameError extends Error {
  /** Creates the error. The reason is a stable code, which is also part of the name of its counter. */
  constructor(
    readonly reason: string,
    detail = '',
  ) {
    super(detail === '' ? reason : `${reason}: ${detail}`);
    this.name = 'FrameError';
  }
}
