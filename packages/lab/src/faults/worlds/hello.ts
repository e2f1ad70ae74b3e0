import type {Hello} from '@chervilbeam/coordination';
import type {SimulatedProcess} from '../kernel/simulated-process.js';

/** Returns the hello message of a process with its current incarnation. */
export function createHello(process: SimulatedProcess, configVersion = 1): Hello {
  const {name, role, dataCentre, region} = process.options;
  return {
    kind: 'hello',
    protocol: 1,
    deployment: 'lab',
    role,
    dataCentre,
    region,
    name,
    incarnation: process.incarnation,
    purpose: 'data',
    peers: [],
    configVersion,
  };
}
