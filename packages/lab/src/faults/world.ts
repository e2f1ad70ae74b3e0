import type {HistoryEvent} from '../histories/history-event.js';
import type {InteractionListener} from './kernel/interaction.js';
import type {SimulatedProcess} from './kernel/simulated-process.js';
import type {Simulation} from './kernel/simulation.js';

/** A small deployment in virtual time that drives one protocol through all its steps. */
export interface World {
  readonly simulation: Simulation;
  readonly processes: ReadonlyMap<string, SimulatedProcess>;
  /** Hosts with a worker or a backend server. */
  readonly hosts: readonly string[];
  /** Sets who is told of each step. */
  listen(listener: InteractionListener): void;
  /** Breaks the path between two processes, or a process and `store`; false when there is no such path. */
  cut(a: string, b: string, durationMs: number): boolean;
  /** Loses the next answer from one process or `store` to another; false when there is no such path. */
  loseAnswer(from: string, to: string): boolean;
  /** Kills the worker or backend server of a host for a time. */
  killHost(host: string, durationMs: number): void;
  /** Lets the worker or backend server of a host fail what it starts. */
  failHost(host: string, durationMs: number): void;
  /** Makes the store unreachable; false when the protocol has no store. */
  stopStore(durationMs: number): boolean;
  /** Makes the store slow; false when the protocol has no store. */
  slowStore(durationMs: number): boolean;
  /** Lets another operator act at once; false when the protocol has no operators. */
  raceOperators(): boolean;
  /** Cancels work that is under way; false when there is none. */
  cancel(): boolean;
  /** Runs the scenario to its end and returns what happened. */
  run(): readonly HistoryEvent[];
}

/** Creates a world; everything random in it follows from the seed. */
export type CreateWorld = (seed: number) => World;
