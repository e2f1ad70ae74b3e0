/** Reasons for which a worker gets no tasks at all. */
export type WorkerClosure =
  | 'disconnected'
  /** It has not listed its runs since it connected. */
  | 'not-listed'
  /** The stored roster does not contain it. */
  | 'not-in-roster'
  | 'draining'
  | 'unreachable'
  /** It has refused a task shortly before. */
  | 'blocked'
  | 'evacuated'
  | 'suspended'
  /** It is on probation and has the one finite task that it may have. */
  | 'probation';

/** Reasons for which a worker that gets tasks does not get a certain one. */
export type WorkerRefusal =
  | 'too-many-runs'
  | 'label'
  /** It runs another copy of the task. */
  | 'own-run'
  | 'no-ticket'
  /** It or the task may be about to crash. */
  | 'isolation'
  | 'memory'
  | 'accelerators'
  | 'processors'
  /** The processors that are free are kept for urgent work. */
  | 'reserve'
  /** A filling task finds too few unused processors. */
  | 'unused-processors'
  /** A filling task would use more than the headroom of the serving tasks. */
  | 'headroom'
  /** Another worker measures how the images affect each other. */
  | 'image-pair'
  /** The room is reserved for another task. */
  | 'reservation'
  | 'spread-limit'
  | 'probation';
