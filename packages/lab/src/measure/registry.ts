import type {Experiment} from './experiment.js';
import {failuresExperiment} from './failures.js';
import {floodExperiment} from './flood.js';
import {routingExperiment} from './routing.js';
import {shedCostExperiment} from './shed-cost.js';

/** All experiments; add one line for each. */
export const experiments: readonly Experiment[] = [
  floodExperiment,
  shedCostExperiment,
  routingExperiment,
  failuresExperiment,
];
