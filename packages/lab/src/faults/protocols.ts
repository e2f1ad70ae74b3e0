import {points, type Point} from './kernel/interaction.js';
import type {CreateWorld} from './world.js';
import {ConfigurationWorld, configurationSteps} from './worlds/configuration-world.js';
import {RequestWorld, requestSteps} from './worlds/request-world.js';
import {TaskWorld, taskSteps} from './worlds/task-world.js';

/** One step of a protocol that faults may strike. */
export interface ProtocolStep {
  /** Name of the world that drives the step. */
  readonly world: string;
  readonly protocol: string;
  readonly step: string;
}

/** The worlds by name. */
export const worlds: Readonly<Record<string, CreateWorld>> = {
  requests: seed => new RequestWorld(seed),
  tasks: seed => new TaskWorld(seed),
  configuration: seed => new ConfigurationWorld(seed),
};

/** Every step of every protocol, in the order of the matrix. */
export const protocolSteps: readonly ProtocolStep[] = [
  ...requestSteps.map(([protocol, step]) => ({world: 'requests', protocol, step})),
  ...taskSteps.map(([protocol, step]) => ({world: 'tasks', protocol, step})),
  ...configurationSteps.map(([protocol, step]) => ({world: 'configuration', protocol, step})),
];

/** A row of the matrix. */
export interface MatrixRow extends ProtocolStep {
  readonly point: Point;
}

/** Returns the rows of the matrix. */
export function getRows(): MatrixRow[] {
  return protocolSteps.flatMap(step => points.map(point => ({...step, point})));
}
