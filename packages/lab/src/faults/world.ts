import type {HistoryEvent} from '../histories/history-event.js';
import type {InteractionListener} from './kernel/interaction.js';
import type {SimulatedProcess} from './kernel/simulated-process.js';
import type {Simulation} from './kernel/simulation.js';

/** A small simulated deployment in virtual time whose scenario performs all steps of some protocols. */
export interface World {
  readonly simulation: Simulation;
  readonly processes: ReadonlyMap<string, SimulatedProcess>;
  /** Hosts with a worker or a backend server. */
  readonly hosts: readonly string[];
  /** Sets the listener that is called for each interaction. */
  listen(listener: InteractionListener): void;
  /** Cuts the path between two processes, or a process and `store`; returns false when they are not connected. */
  cut(a: string, b: string, durationMs: number): boolean;
  /** Drops the next answer from a process or `store` to a process; returns false when they are not connected. */
  loseAnswer(from: string, to: string): boolean;
  /** Kills the worker or backend server of a host and restarts it after a time. */
  killHost(host: string, durationMs: number): void;
  /** Makes the worker of a host refuse starts, or its backend server fail the exchanges that end, for a time. */
  failHost(host: string, durationMs: number): void;
  /** Makes the store refuse calls for a time; returns false when the world has no store. */
  stopStore(durationMs: number): boolean;
  /** Makes the store slow for a time; returns false when the world has no store. */
  slowStore(durationMs: number): boolean;
  /** Makes another operator change the configuration now; returns false when the world has no operators. */
  raceOperators(): boolean;
  /** Cancels work in progress; returns false when there is none. */
  cancel(): boolean;
  /** Runs the scenario to its end and returns the recorded history. */
  run(): readonly HistoryEvent[];
}

/** Creates a world; the seed determines all its random choices. */
export type WorldFactory = (seed: number) => World;
