import type {Announce} from '../messages/control.js';
import type {DataMessage, Headers, NotRunReason} from '../messages/data.js';
import type {Reducer} from '../reducer.js';
import type {
  CallerAnswer,
  CallerRequest,
  EntryRequestsEffect,
  EntryRequestsEvent,
  Outcome,
} from '../requests/entry-events.js';

const noBody: Uint8Array = new Uint8Array(0);

/** Sends each request to the next host that announces its service. Holds no queue and never retries. */
export class EntryProcess implements Reducer<EntryRequestsEvent, EntryRequestsEffect> {
  private readonly hosts = new Map<string, Announce>();
  private readonly callers = new Map<number, {caller: number; peer: string}>();
  private sequence = 0;

  /** Creates the reducer of a process with the given incarnation. */
  constructor(private readonly options: {readonly incarnation: number}) {}

  /** Applies an event. */
  reduce(event: EntryRequestsEvent): readonly EntryRequestsEffect[] {
    switch (event.kind) {
      case 'announce':
        this.hosts.set(event.peer, event.message);
        return [];
      case 'peer-down':
        return this.lose(event.peer);
      case 'caller-request':
        return this.dispatch(event);
      case 'message':
        return this.receive(event.message, event.body);
      case 'drain':
        return [{kind: 'drained'}];
      default:
        return [];
    }
  }

  private lose(peer: string): readonly EntryRequestsEffect[] {
    this.hosts.delete(peer);
    const lost = [...this.callers].filter(([, request]) => request.peer === peer);
    for (const [sequence] of lost) this.callers.delete(sequence);
    return lost.map(([, {caller}]) => answer(caller, 'unknown', 502));
  }

  private dispatch(request: CallerRequest): readonly EntryRequestsEffect[] {
    const {caller, service, method, path, headers, body} = request;
    const able = [...this.hosts].filter(([, host]) => host.services.includes(service));
    const sequence = ++this.sequence;
    const peer = able[sequence % able.length]?.[0];
    if (peer === undefined) return [answer(caller, 'not-run', 503, 'no-backend')];
    this.callers.set(sequence, {caller, peer});
    const message: DataMessage = {
      kind: 'dispatch',
      id: {origin: this.options.incarnation, sequence},
      attempt: 1,
      service,
      class: {team: '', kind: 'service', urgency: 'normal'},
      idempotent: false,
      remainingMs: request.timeoutMs,
      method,
      path,
      headers,
      bodyLength: body.length,
    };
    return [{kind: 'send', peer, message, body}];
  }

  private receive(message: DataMessage, body = noBody): readonly EntryRequestsEffect[] {
    const {origin, sequence} = message.id;
    const request = this.callers.get(sequence);
    if (origin !== this.options.incarnation || request === undefined) return [];
    this.callers.delete(sequence);
    const {caller} = request;
    switch (message.kind) {
      case 'reply':
        return [answer(caller, 'answered', message.status, undefined, message.headers, body)];
      case 'rejected':
        return [answer(caller, 'not-run', 503, message.reason)];
      default:
        return [answer(caller, 'unknown', 502)];
    }
  }
}

function answer(
  caller: number,
  outcome: Outcome,
  status: number,
  reason?: NotRunReason,
  headers: Headers = [],
  body = noBody,
): CallerAnswer {
  return {kind: 'answer', caller, outcome, status, headers, body, ...(reason && {reason})};
}
