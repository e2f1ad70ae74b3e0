import {injectionPoints, type InjectionPoint} from './kernel/interaction.js';
import type {WorldFactory} from './world.js';
import {ConfigurationWorld, configurationSteps} from './worlds/configuration-world.js';
import {RequestWorld, requestSteps} from './worlds/request-world.js';
import {TaskWorld, taskSteps} from './worlds/task-world.js';

/** One step of a protocol at which faults are injected. */
export interface ProtocolStep {
  /** Name of the world that performs the step. */
  readonly world: string;
  readonly protocol: string;
  readonly step: string;
}

/** Factories of the worlds, by name. */
export const worlds: Readonly<Record<string, WorldFactory>> = {
  requests: seed => new RequestWorld(seed),
  tasks: seed => new TaskWorld(seed),
  configuration: seed => new ConfigurationWorld(seed),
};

/** All steps of all protocols, in the order of the matrix rows. */
export const protocolSteps: readonly ProtocolStep[] = [
  ...requestSteps.map(([protocol, step]) => ({world: 'requests', protocol, step})),
  ...taskSteps.map(([protocol, step]) => ({world: 'tasks', protocol, step})),
  ...configurationSteps.map(([protocol, step]) => ({world: 'configuration', protocol, step})),
];

/** A row of the matrix: a step and an injection point. */
export interface MatrixRow extends ProtocolStep {
  readonly point: InjectionPoint;
}

/** Returns all rows of the matrix in order. */
export function getMatrixRows(): MatrixRow[] {
  return protocolSteps.flatMap(step => injectionPoints.map(point => ({...step, point})));
}
