import type {Announce} from '../messages/control.js';
import type {DataMessage, Dispatch, Failed, Reply} from '../messages/data.js';
import type {Reducer} from '../reducer.js';
import type {
  AgentExchangesEffect,
  AgentExchangesEvent,
  BackendAnnounced,
} from '../requests/agent-events.js';

const noBody: Uint8Array = new Uint8Array(0);

/** Passes each dispatch to the backend server that was announced last. Holds no queue. */
export class AgentProcess implements Reducer<AgentExchangesEvent, AgentExchangesEffect> {
  private readonly exchanges = new Map<number, {peer: string; dispatch: Dispatch}>();
  private backend: BackendAnnounced | undefined;
  private lastExchange = 0;

  /** Creates the reducer of the agent of a host. */
  constructor(private readonly options: {readonly host: string; readonly rack: string}) {}

  /** Applies an event. */
  reduce(event: AgentExchangesEvent): readonly AgentExchangesEffect[] {
    switch (event.kind) {
      case 'backend-announced':
        this.backend = event;
        return [{kind: 'announce', message: this.getAnnounce()}];
      case 'backend-lapsed':
        this.backend = undefined;
        return [{kind: 'announce', message: this.getAnnounce()}];
      case 'peer-up':
        return [{kind: 'send', peer: event.peer, message: this.getAnnounce()}];
      case 'message':
        return this.receive(event.peer, event.message, event.body);
      case 'exchange-finished': {
        const {status, headers, body} = event;
        const reply = {kind: 'reply', status, headers, bodyLength: body.length} as const;
        return this.finish(event.exchange, reply, body);
      }
      case 'exchange-failed':
        return this.finish(event.exchange, {kind: 'failed', detail: event.detail}, noBody);
      case 'drain':
        return [{kind: 'drained'}];
      default:
        return [];
    }
  }

  private receive(
    peer: string,
    dispatch: DataMessage,
    body = noBody,
  ): readonly AgentExchangesEffect[] {
    if (dispatch.kind !== 'dispatch') return [];
    const {id, attempt, service, method, path, headers, remainingMs} = dispatch;
    if (this.backend === undefined) {
      const reason = 'no-backend';
      const message = {kind: 'rejected', id, attempt, reason, holdMs: 0, credit: 0} as const;
      return [{kind: 'send', peer, message}];
    }
    const exchange = ++this.lastExchange;
    const {url} = this.backend;
    this.exchanges.set(exchange, {peer, dispatch});
    const request = {service, method, path, headers, body, timeoutMs: remainingMs};
    return [{kind: 'open-exchange', exchange, url, ...request}];
  }

  private finish(
    exchange: number,
    result: Omit<Reply, 'id' | 'attempt' | 'credit'> | Omit<Failed, 'id' | 'attempt' | 'credit'>,
    body: Uint8Array,
  ): readonly AgentExchangesEffect[] {
    const entry = this.exchanges.get(exchange);
    if (entry === undefined) return [];
    this.exchanges.delete(exchange);
    const {id, attempt} = entry.dispatch;
    const message = {...result, id, attempt, credit: 1};
    return [{kind: 'send', peer: entry.peer, message, body}];
  }

  private getAnnounce(): Announce {
    return {
      kind: 'announce',
      host: this.options.host,
      rack: this.options.rack,
      capacity: {processors: 0, memoryMb: 0, accelerators: 0, slots: this.backend?.slots ?? 0},
      services: this.backend?.services ?? [],
      slots: this.backend?.slots ?? 0,
      connections: this.backend?.connections ?? 0,
      draining: this.backend?.draining ?? false,
    };
  }
}
