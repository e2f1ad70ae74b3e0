/** Bytes on a connection that are not a frame of this protocol. The connection is closed. */
export class FrameError extends Error {
  /** Creates the error with a stable reason, which is also the name of its counter. */
  constructor(
    readonly reason: string,
    detail = '',
  ) {
    super(detail === '' ? reason : `${reason}: ${detail}`);
    this.name = 'FrameError';
  }
}
