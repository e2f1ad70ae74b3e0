import {batchesExperiment} from './batches.js';
import {colocationExperiment} from './colocation.js';
import {configurationExperiment} from './configuration.js';
import type {Experiment} from './experiment.js';
import {failuresExperiment} from './failures.js';
import {floodExperiment} from './flood.js';
import {ownershipExperiment} from './ownership.js';
import {placementExperiment} from './placement.js';
import {routingExperiment} from './routing.js';
import {sharesExperiment} from './shares.js';

/** All experiments; add one line for each. */
export const experiments: readonly Experiment[] = [
  floodExperiment,
  routingExperiment,
  failuresExperiment,
  configurationExperiment,
  colocationExperiment,
  batchesExperiment,
  sharesExperiment,
  ownershipExperiment,
  placementExperiment,
];
