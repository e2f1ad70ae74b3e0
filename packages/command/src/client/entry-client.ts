import {callControl, type ControlCall} from '@chervilbeam/runtime';

/** Answer of a control port. */
export interface ControlAnswer {
  readonly status: number;
  readonly body: unknown;
  /** Whether an entry that was tried before may have received the call although its answer did not come. */
  readonly isAmbiguous?: boolean;
}

/** No entry answered. */
export class NoEntryError extends Error {
  constructor(
    readonly attempts: readonly string[],
    /** Whether an entry may have received the call although its answer did not come. */
    readonly isAmbiguous: boolean,
  ) {
    super(`no entry answered: ${attempts.join('; ')}`);
    this.name = 'NoEntryError';
  }
}

const timeoutMs = 10_000;

/** Errors that arise before a call is sent. */
const unsentReasons = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Calls the control ports of entries, the next one when one does not answer. */
export class EntryClient {
  constructor(
    readonly entries: readonly string[],
    private readonly signal: AbortSignal,
  ) {}

  /** Reads from the first entry that answers. */
  async get(path: string): Promise<ControlAnswer> {
    return this.#tryAll(entry => this.getFrom(entry, path));
  }

  /** Reads from one process. */
  async getFrom(origin: string, path: string): Promise<ControlAnswer> {
    return this.#call(origin, path, {method: 'GET'});
  }

  /**
   * Posts to the first entry that answers. Only for calls that may be repeated: a plan changes nothing,
   * and a confirmation of the same plan takes effect once. An answer that is not wanted is kept as
   * fallback while the next entry is asked.
   */
  async post(
    path: string,
    body: unknown,
    isWanted: (answer: ControlAnswer) => boolean = () => true,
  ): Promise<ControlAnswer> {
    return this.#tryAll(entry => this.#call(entry, path, {method: 'POST', body}), isWanted);
  }

  async #tryAll(
    call: (entry: string) => Promise<ControlAnswer>,
    isWanted: (answer: ControlAnswer) => boolean = () => true,
  ): Promise<ControlAnswer> {
    const attempts: string[] = [];
    let fallback: ControlAnswer | undefined;
    let isAmbiguous = false;
    for (const entry of this.entries) {
      try {
        const answer = {...(await call(entry)), isAmbiguous};
        const isRefusal = answer.status === 503 || answer.status === 404;
        if (!isRefusal && isWanted(answer)) return answer;
        if (!fallback || (!isRefusal && fallback.status !== 200)) fallback = answer;
      } catch (error) {
        if (this.signal.aborted) throw error;
        const reason = getReason(error);
        isAmbiguous ||= !unsentReasons.has(reason);
        attempts.push(`${entry}: ${reason}`);
      }
    }
    if (fallback) return {...fallback, isAmbiguous};
    throw new NoEntryError(attempts, isAmbiguous);
  }

  async #call(
    origin: string,
    path: string,
    call: Omit<ControlCall, 'signal'>,
  ): Promise<ControlAnswer> {
    const signal = AbortSignal.any([this.signal, AbortSignal.timeout(timeoutMs)]);
    return callControl(origin, path, {...call, signal});
  }
}

function getReason(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return (error as {code?: string}).code ?? error.message;
}
