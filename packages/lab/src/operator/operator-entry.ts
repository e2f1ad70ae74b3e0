import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  ConfigurationView,
  HybridClock,
  TimelineBuffer,
  type ConfigurationEffect,
  type ConfigurationEvent,
  type PlanEffect,
} from '@chervilbeam/coordination';
import {
  addOperatorRoutes,
  ConfigurationStore,
  isConfigurationStoreEffect,
  OperatorService,
  StoreClient,
  type ConfirmationAnswer,
} from '@chervilbeam/runtime';
import {H3} from 'h3';
import {toNodeHandler} from 'h3/node';

const tickIntervalMs = 20;

/** An entry reduced to its operator interface: configuration view, store client and control port. */
export class OperatorEntry {
  /** Configuration that the entry knows. */
  readonly view: ConfigurationView;
  /** Events that the entry recorded for `GET /v1/timeline`. */
  readonly timeline: TimelineBuffer;
  /** Hosts that were declared lost. */
  readonly lostHosts: string[] = [];
  /** Predicted effects that the next plans show instead of a scheduler's forecast; undefined for no prediction. */
  prediction: readonly PlanEffect[] | undefined;
  readonly #client: StoreClient;
  readonly #store: ConfigurationStore;
  readonly #clock = new HybridClock();
  readonly #confirmations = new Map<number, (answer: ConfirmationAnswer) => void>();
  readonly #server: Server;
  #timer: NodeJS.Timeout | undefined;
  #nextRequest = 1;

  /** Creates an entry that uses the store at `storeUrl`; `start` opens its control port. */
  constructor(
    readonly name: string,
    readonly incarnation: number,
    storeUrl: string,
  ) {
    const location = {dataCentre: 'd1', region: 'r1'};
    this.view = new ConfigurationView({
      role: 'entry',
      name,
      ...location,
      incarnation,
      seed: incarnation,
    });
    this.timeline = new TimelineBuffer(name);
    this.#client = new StoreClient({url: storeUrl, timeoutMs: 500});
    this.#store = new ConfigurationStore(this.#client, event => this.post(event));
    const app = new H3();
    addOperatorRoutes(app, new OperatorService(this.#getBackend(location)));
    this.#server = createServer(toNodeHandler(app));
  }

  /** Starts the ticks and the control port; returns the address of the port as `host:port`. */
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve));
    this.#timer = setInterval(() => this.post({kind: 'tick'}), tickIntervalMs);
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Stops the ticks, the store client and the control port. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    await this.#client.close();
    this.#server.closeAllConnections();
    await new Promise(resolve => this.#server.close(resolve));
  }

  /** Passes an event to the reducer and executes its effects. */
  post(event: ConfigurationEvent): void {
    for (const effect of this.view.reduce(event, performance.now())) this.#executeEffect(effect);
  }

  #executeEffect(effect: ConfigurationEffect): void {
    if (isConfigurationStoreEffect(effect)) return this.#store.executeEffect(effect);
    if (effect.kind === 'record') {
      this.timeline.record(effect.event, this.#clock.next(Date.now()));
    } else if (effect.kind === 'confirmed') {
      this.#confirmations.get(effect.request)?.(effect);
      this.#confirmations.delete(effect.request);
    }
  }

  #getBackend(location: {dataCentre: string; region: string}) {
    return {
      incarnation: this.incarnation,
      getConfiguration: () => this.view.configuration,
      isConfigurationKnown: () => this.view.isKnown,
      getChangesAfter: (version: number) => this.view.getChangesAfter(version),
      predict: () => this.prediction,
      confirm: (plan: Extract<ConfigurationEvent, {kind: 'confirm'}>['plan']) =>
        new Promise<ConfirmationAnswer>(resolve => {
          const request = this.#nextRequest++;
          this.#confirmations.set(request, resolve);
          this.post({kind: 'confirm', request, plan});
        }),
      // The only known hosts are those whose names start with `host-`.
      declareLoss: (host: string) => host.startsWith('host-') && this.lostHosts.push(host) > 0,
      getStatus: () => ({
        deployment: 'test',
        version: this.view.configuration.version,
        processes: [
          {
            name: this.name,
            role: 'entry' as const,
            ...location,
            version: this.view.configuration.version,
          },
        ],
        workloads: [],
        findings: [],
      }),
      getTimeline: (filter: Parameters<TimelineBuffer['select']>[0]) =>
        this.timeline.select(filter),
    };
  }
}
