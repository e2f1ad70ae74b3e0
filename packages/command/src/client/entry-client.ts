import {callControl, type ControlCall} from '@chervilbeam/runtime';

/** HTTP status and parsed body of a control port's answer. */
export interface ControlAnswer {
  readonly status: number;
  readonly body: unknown;
  /** Whether an entry tried earlier may have received the call, although it did not answer. */
  readonly isAmbiguous?: boolean;
}

/** No entry answered, or none was given. */
export class NoEntryError extends Error {
  constructor(
    /** Address and error of each entry tried; empty when no entry was given. */
    readonly attempts: readonly string[],
    /** Whether an entry may have received the call, although none answered. */
    readonly isAmbiguous: boolean,
  ) {
    super(`no entry answered: ${attempts.join('; ')}`);
    this.name = 'NoEntryError';
  }
}

/** Timeout of one call to one entry, in milliseconds. */
const timeoutMs = 10_000;

/** Error codes of failed connections: the call was not sent, so the entry cannot have carried it out. */
const unsentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Calls the control ports of the entries in turn until one answers; a 503 or 404 also leads to the next entry. */
export class EntryClient {
  /** Creates a client of entries, given as origins `http://ip:port`; `signal` aborts all calls. */
  constructor(
    readonly entries: readonly string[],
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Reads from the first entry that answers with neither 503 nor 404. When there is none, the first answer is returned.
   * Throws `NoEntryError` when no entry answers.
   */
  async get(path: string): Promise<ControlAnswer> {
    return this.#tryAll(entry => this.getFrom(entry, path));
  }

  /** Reads from the control port of one process. Throws when it is not reached or does not answer within 10 s. */
  async getFrom(origin: string, path: string): Promise<ControlAnswer> {
    return this.#call(origin, path, {method: 'GET'});
  }

  /**
   * Posts to the entries in turn until one gives a preferred answer. Use it only for calls that may be
   * repeated: a plan changes nothing, and a plan that is confirmed several times takes effect once. When
   * no answer is preferred, returns the first with status 200, else the last that is neither 503 nor 404,
   * else the first. Throws `NoEntryError` when no entry answers.
   */
  async post(
    path: string,
    body: unknown,
    isPreferred: (answer: ControlAnswer) => boolean = () => true,
  ): Promise<ControlAnswer> {
    return this.#tryAll(entry => this.#call(entry, path, {method: 'POST', body}), isPreferred);
  }

  async #tryAll(
    call: (entry: string) => Promise<ControlAnswer>,
    isPreferred: (answer: ControlAnswer) => boolean = () => true,
  ): Promise<ControlAnswer> {
    const attempts: string[] = [];
    let fallback: ControlAnswer | undefined;
    let isAmbiguous = false;
    for (const entry of this.entries) {
      try {
        const answer = {...(await call(entry)), isAmbiguous};
        const isRefusal = answer.status === 503 || answer.status === 404;
        if (!isRefusal && isPreferred(answer)) return answer;
        if (!fallback || (!isRefusal && fallback.status !== 200)) fallback = answer;
      } catch (error) {
        if (this.signal.aborted) throw error;
        const reason = getReason(error);
        isAmbiguous ||= !unsentErrorCodes.has(reason);
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
