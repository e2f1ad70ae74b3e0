import type {HistoryEvent} from '../../histories/history-event.js';
import type {InteractionListener} from '../kernel/interaction.js';
import type {NetworkMessage, SimulatedNetwork} from '../kernel/simulated-network.js';
import type {SimulatedProcess} from '../kernel/simulated-process.js';
import type {SimulatedStore} from '../kernel/simulated-store.js';
import type {Simulation} from '../kernel/simulation.js';
import type {World} from '../world.js';

/** Base of all worlds: holds the processes and injects faults into the network and the store. */
export abstract class BaseWorld<Message extends NetworkMessage> implements World {
  readonly processes = new Map<string, SimulatedProcess>();
  abstract readonly hosts: readonly string[];
  protected abstract readonly network: SimulatedNetwork<Message>;
  protected readonly store?: SimulatedStore;

  constructor(readonly simulation: Simulation) {}

  listen(listener: InteractionListener): void {
    this.network.listener = listener;
    if (this.store) this.store.listener = listener;
  }

  cut(a: string, b: string, durationMs: number): boolean {
    if (a === 'store' || b === 'store') {
      this.store?.cut(a === 'store' ? b : a, durationMs);
      return this.store !== undefined;
    }
    if (!this.network.isConnected(a, b)) return false;
    // The processes detect the cut at once or only after 1.5 s.
    this.network.cut(a, b, durationMs, this.simulation.random.pick([0, 1_500]));
    return true;
  }

  loseAnswer(from: string, to: string): boolean {
    if (from === 'store') {
      this.store?.loseAnswer(to);
      return this.store !== undefined;
    }
    if (!this.network.isConnected(from, to)) return false;
    this.network.dropNext(from, to);
    return true;
  }

  stopStore(durationMs: number): boolean {
    if (!this.store) return false;
    this.store.outageUntil = this.simulation.now + durationMs;
    return true;
  }

  slowStore(durationMs: number): boolean {
    if (!this.store) return false;
    this.store.slowUntil = this.simulation.now + durationMs;
    return true;
  }

  abstract killHost(host: string, durationMs: number): void;
  abstract failHost(host: string, durationMs: number): void;
  abstract raceOperators(): boolean;
  abstract cancel(): boolean;
  abstract run(): readonly HistoryEvent[];
}
