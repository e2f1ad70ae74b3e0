import {mkdirSync, writeFileSync} from 'node:fs';
import {cpus, totalmem} from 'node:os';
import {measureIdleDaemons} from './idle-daemon-cost.js';
import {agentTasks, agentWorkloads} from './experiments/agent.js';
import {cellHosts, cellWaiting} from './experiments/cell.js';
import {configurationFleet, configurationSize} from './experiments/configuration.js';
import {entryHosts, entryMesh, entryWorkloads, summaryServices} from './experiments/entry.js';
import {dispatchWorkers} from './experiments/dispatch.js';
import {ownershipEntries} from './experiments/ownership.js';
import {runExperiment, type CapacityExperiment, type MetricResult} from './experiment.js';
import {formatNumber, formatResults} from './report.js';

const experiments: readonly CapacityExperiment[] = [
  entryHosts,
  entryWorkloads,
  entryMesh,
  summaryServices,
  agentTasks,
  agentWorkloads,
  cellHosts,
  cellWaiting,
  configurationSize,
  configurationFleet,
  dispatchWorkers,
  ownershipEntries,
];
// SEEDS lists the seeds, separated by commas. ONLY selects the experiments whose names contain it.
const seeds = (process.env.SEEDS ?? '1,2,3').split(',').map(Number);
const nameFilter = process.env.ONLY;

const results: MetricResult[] = [];
for (const experiment of experiments) {
  if (nameFilter && !experiment.name.includes(nameFilter)) continue;
  const experimentResults = runExperiment(experiment, seeds);
  results.push(...experimentResults);
  console.log(formatResults(experimentResults));
}
// `ONLY=floor` runs no experiment and measures only the idle daemons.
const idleDaemonCosts = nameFilter && nameFilter !== 'floor' ? [] : await measureIdleDaemons();
for (const {role, residentBytes, processorMsPerSecond} of idleDaemonCosts) {
  const text = `${formatNumber(residentBytes)}B resident, ${formatNumber(processorMsPerSecond)} ms/s`;
  console.log(`idle ${role} process: ${text}`);
}
const machine = {
  cores: cpus().length,
  model: cpus()[0]?.model,
  memoryBytes: totalmem(),
  node: process.version,
};
mkdirSync('output', {recursive: true});
const output = `output/capacity${nameFilter ? '-part' : ''}.json`;
writeFileSync(output, JSON.stringify({machine, seeds, floors: idleDaemonCosts, results}, null, 1));
console.log(`machine: ${JSON.stringify(machine)}, seeds ${seeds.join(', ')}`);
console.log(`wrote ${results.length} slopes to ${output}`);
