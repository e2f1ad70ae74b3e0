import {configurationExperiment} from './configuration.js';
import type {Experiment} from './experiment.js';
import {failuresExperiment} from './failures.js';
import {floodExperiment} from './flood.js';
import {routingExperiment} from './routing.js';

/** All experiments; add one line for each. */
export const experiments: readonly Experiment[] = [
  floodExperiment,
  routingExperiment,
  failuresExperiment,
  configurationExperiment,
];
