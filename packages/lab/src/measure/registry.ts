import {configurationExperiment} from './configuration.js';
import type {Experiment} from './experiment.js';
import {failuresExperiment} from './failures.js';
import {floodExperiment} from './flood.js';
import {routingExperiment} from './routing.js';
import {batchesExperiment} from './tasks/batches.js';
import {colocationExperiment} from './tasks/colocation.js';
import {ownershipExperiment} from './tasks/ownership.js';
import {costOfDelayExperiment} from './tasks/cost/cost-of-delay.js';
import {placementExperiment} from './tasks/placement.js';
import {sharesExperiment} from './tasks/shares.js';
import {shedCostExperiment} from './shed-cost.js';

/** All experiments, in the order in which they run; a new experiment is added here. */
export const experiments: readonly Experiment[] = [
  floodExperiment,
  shedCostExperiment,
  routingExperiment,
  failuresExperiment,
  configurationExperiment,
  colocationExperiment,
  batchesExperiment,
  sharesExperiment,
  ownershipExperiment,
  placementExperiment,
  costOfDelayExperiment,
];
