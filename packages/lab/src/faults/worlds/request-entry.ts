import {
  EntryRequests,
  type Announce,
  type Configuration,
  type DataMessage,
  type EntryRequestsEffect,
  type EntryRequestsEvent,
  type Heartbeat,
  type Summary,
} from '@chervilbeam/coordination';
import {SimulatedProcess, type ProcessOptions} from '../kernel/simulated-process.js';
import type {Endpoint, SimulatedNetwork} from '../kernel/simulated-network.js';
import type {Simulation} from '../kernel/simulation.js';
import {createHello} from './hello.js';

/** Messages of the request protocol. */
export type RequestMessage = DataMessage | Announce | Heartbeat | Summary;

/** Reducer of the requests of an entry; tests substitute faulty ones. */
export interface RequestEntryReducer {
  reduce(event: EntryRequestsEvent, at: number): readonly EntryRequestsEffect[];
}

/** Creates the reducer when an entry starts. */
export type RequestEntryReducerFactory = (entry: RequestEntry) => RequestEntryReducer;

const createEntryRequests: RequestEntryReducerFactory = entry =>
  new EntryRequests({
    incarnation: entry.incarnation,
    dataCentre: entry.options.dataCentre,
    region: entry.options.region,
    seed: 1 + (entry.incarnation % 0x7fffffff),
  });

/** Simulated entry that runs only the reducer `EntryRequests`. */
export class RequestEntry extends SimulatedProcess implements Endpoint<RequestMessage> {
  /** Whether a graceful shutdown was requested. */
  draining = false;
  /** Virtual time in milliseconds of the latest request for a graceful shutdown. */
  drainingSince = 0;
  readonly #tokensByCaller = new Map<number, string>();
  readonly #peers = new Map<string, 'entry' | 'agent'>();
  #reducer!: RequestEntryReducer;
  #callerCount = 0;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<RequestMessage>,
    private readonly configuration: Configuration,
    private readonly createReducer: RequestEntryReducerFactory = createEntryRequests,
  ) {
    super(simulation, options);
  }

  peerUp(peer: Endpoint<RequestMessage>): void {
    this.#peers.set(peer.name, peer.options.role);
    this.#apply({kind: 'peer-up', peer: peer.name, hello: createHello(peer)});
  }

  peerDown(peer: string): void {
    this.#peers.delete(peer);
    this.#apply({kind: 'peer-down', peer});
  }

  receive(
    peer: string,
    message: RequestMessage,
    body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void {
    if (message.kind === 'announce') {
      this.#apply({kind: 'announce', peer, message}, beforeEffects);
    } else if (message.kind === 'heartbeat') {
      this.#apply({kind: 'heartbeat', peer, message}, beforeEffects);
    } else if (message.kind === 'summary') {
      this.#apply({kind: 'summary', peer, message}, beforeEffects);
    } else {
      this.#apply({kind: 'message', peer, message, body}, beforeEffects);
    }
  }

  /** Receives a request from a caller. The caller disconnects after `abandonAfterMs` if that is given. */
  submit(
    token: string,
    service: string,
    idempotent: boolean,
    timeoutMs: number,
    abandonAfterMs?: number,
  ): void {
    const caller = ++this.#callerCount;
    const entry = this.name;
    this.simulation.record({
      kind: 'request-submitted',
      request: token,
      entry,
      service,
      idempotent,
      timeoutMs,
    });
    this.deliver(() => {
      this.#tokensByCaller.set(caller, token);
      this.#apply({
        kind: 'caller-request',
        caller,
        service,
        method: idempotent ? 'GET' : 'POST',
        path: `/${token}`,
        headers: [['x-lab-request', token]],
        body: idempotent ? new Uint8Array() : new TextEncoder().encode(token),
        timeoutMs,
      });
    });
    if (abandonAfterMs !== undefined) this.after(abandonAfterMs, () => this.abandon(caller));
  }

  /** Disconnects the caller of the oldest open request; returns false when no request is open. */
  abandonOldest(): boolean {
    const caller = this.#tokensByCaller.keys().next().value;
    if (caller === undefined) return false;
    this.abandon(caller);
    return true;
  }

  /** Disconnects a caller before its answer; does nothing when it was answered already. */
  abandon(caller: number): void {
    const token = this.#tokensByCaller.get(caller);
    if (token === undefined) return;
    this.#tokensByCaller.delete(caller);
    this.simulation.record({kind: 'request-abandoned', request: token});
    this.deliver(() => this.#apply({kind: 'caller-gone', caller}));
  }

  /** Starts a graceful shutdown, as a termination signal does. */
  drain(): void {
    if (!this.isAlive || this.draining) return;
    this.draining = true;
    this.drainingSince = this.simulation.now;
    // A frozen process receives the signal when it resumes.
    this.deliver(() => {
      this.simulation.record({kind: 'shutdown-began', process: this.identity});
      this.#apply({kind: 'drain'});
    });
  }

  protected boot(): void {
    this.draining = false;
    this.#tokensByCaller.clear();
    this.#peers.clear();
    this.#reducer = this.createReducer(this);
    this.after(100, () => this.#apply({kind: 'configuration', configuration: this.configuration}));
  }

  protected tick(): void {
    this.#apply({kind: 'tick'});
  }

  protected onEnd(): void {
    this.network.closeConnectionsOf(this.name);
  }

  #apply(event: EntryRequestsEvent, beforeEffects?: () => void): void {
    const effects = this.#reducer.reduce(event, this.clock);
    this.executeEffects(effects, effect => this.#execute(effect), beforeEffects);
  }

  #execute(effect: EntryRequestsEffect): void {
    switch (effect.kind) {
      case 'send':
        this.network.send(this.name, effect.peer, effect.message, effect.body);
        break;
      case 'answer': {
        const token = this.#tokensByCaller.get(effect.caller);
        if (token === undefined) break;
        this.#tokensByCaller.delete(effect.caller);
        this.simulation.record({
          kind: 'request-answered',
          request: token,
          outcome: effect.outcome,
          status: effect.status,
          body: new TextDecoder().decode(effect.body),
        });
        break;
      }
      case 'summary':
        for (const [peer, role] of this.#peers) {
          if (role !== 'entry' || (effect.to ?? peer) !== peer) continue;
          this.network.send(this.name, peer, effect.message);
        }
        break;
      case 'drained':
        this.exit();
        break;
      default:
    }
  }
}
