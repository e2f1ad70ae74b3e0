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

/** A reducer of requests at an entry; tests pass broken ones. */
export interface EntryReducer {
  reduce(event: EntryRequestsEvent, at: number): readonly EntryRequestsEffect[];
}

/** Creates the reducer of one life of an entry. */
export type CreateEntryReducer = (entry: RequestEntry) => EntryReducer;

const createEntryRequests: CreateEntryReducer = entry =>
  new EntryRequests({
    incarnation: entry.incarnation,
    dataCentre: entry.options.dataCentre,
    region: entry.options.region,
    seed: 1 + (entry.incarnation % 0x7fffffff),
  });

/** Entry that runs `EntryRequests` alone. */
export class RequestEntry extends SimulatedProcess implements Endpoint<RequestMessage> {
  draining = false;
  drainingSince = 0;
  readonly #tokens = new Map<number, string>();
  readonly #peers = new Map<string, 'entry' | 'agent'>();
  #reducer!: EntryReducer;
  #callers = 0;

  constructor(
    simulation: Simulation,
    options: ProcessOptions,
    private readonly network: SimulatedNetwork<RequestMessage>,
    private readonly configuration: Configuration,
    private readonly createReducer: CreateEntryReducer = createEntryRequests,
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

  /** Receives a request of a caller, who may give up after a time. */
  submit(
    token: string,
    service: string,
    idempotent: boolean,
    timeoutMs: number,
    goneMs?: number,
  ): void {
    const caller = ++this.#callers;
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
      this.#tokens.set(caller, token);
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
    if (goneMs !== undefined) this.after(goneMs, () => this.abandon(caller));
  }

  /** Lets the caller of the oldest open request give up; false when none is open. */
  abandonOldest(): boolean {
    const caller = this.#tokens.keys().next().value;
    if (caller === undefined) return false;
    this.abandon(caller);
    return true;
  }

  /** Ends the exchange of a caller who does not wait any longer. */
  abandon(caller: number): void {
    const token = this.#tokens.get(caller);
    if (token === undefined) return;
    this.#tokens.delete(caller);
    this.simulation.record({kind: 'request-abandoned', request: token});
    this.deliver(() => this.#apply({kind: 'caller-gone', caller}));
  }

  /** Tells the process to stop gracefully. */
  drain(): void {
    if (!this.alive || this.draining) return;
    this.draining = true;
    this.drainingSince = this.simulation.now;
    // A stopped process gets the signal after its wake.
    this.deliver(() => {
      this.simulation.record({kind: 'shutdown-began', process: this.identity});
      this.#apply({kind: 'drain'});
    });
  }

  protected boot(): void {
    this.draining = false;
    this.#tokens.clear();
    this.#peers.clear();
    this.#reducer = this.createReducer(this);
    this.after(100, () => this.#apply({kind: 'configuration', configuration: this.configuration}));
  }

  protected tick(): void {
    this.#apply({kind: 'tick'});
  }

  protected ended(): void {
    this.network.processEnded(this.name);
  }

  #apply(event: EntryRequestsEvent, beforeEffects?: () => void): void {
    const effects = this.#reducer.reduce(event, this.clock);
    this.carryOut(effects, effect => this.#execute(effect), beforeEffects);
  }

  #execute(effect: EntryRequestsEffect): void {
    switch (effect.kind) {
      case 'send':
        this.network.send(this.name, effect.peer, effect.message, effect.body);
        break;
      case 'answer': {
        const token = this.#tokens.get(effect.caller);
        if (token === undefined) break;
        this.#tokens.delete(effect.caller);
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
