import type {FormerWorker, WorkerIncarnation} from '@chervilbeam/coordination';

/** The worker incarnation before the present one, with the time at which it stopped answering, if that was noticed. */
export class FormerIncarnation {
  constructor(
    readonly life: WorkerIncarnation,
    private readonly silentAt: number | undefined,
  ) {}

  /** Returns it as the owner is told of it at a time in milliseconds on the agent's clock. */
  toMessage(at: number): FormerWorker {
    const {life, silentAt} = this;
    return {life, ...(silentAt !== undefined && {silentMs: at - silentAt})};
  }
}
