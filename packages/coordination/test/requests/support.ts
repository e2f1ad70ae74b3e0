import type {Configuration, Workload} from '../../src/configuration/document.js';
import type {Hello} from '../../src/messages/control.js';
import type {Urgency, WorkloadKind} from '../../src/messages/identity.js';
import {AgentExchanges} from '../../src/requests/agent-exchanges.js';
import type {CallerRequest} from '../../src/requests/entry-events.js';
import {EntryRequests} from '../../src/requests/entry-requests.js';

const resources = {processors: 1000, memoryMb: 1000, accelerators: 0, slots: 8};

/** Creates a workload with a grant of `slots`. */
export function workload(
  name: string,
  urgency: Urgency,
  slots: number,
  kind: WorkloadKind = 'service',
): Workload {
  const grant = {slots, processors: 0};
  return {kind, name, team: 'team', urgency, grant, resources, tasks: 1};
}

/** Creates a configuration with the given workloads. */
export function configuration(...workloads: Workload[]): Configuration {
  const byName = new Map(workloads.map(item => [item.name, item]));
  return {version: 1, workloads: byName, teams: new Map(), drains: new Set()};
}

/** Creates the handshake message of a process. */
export function hello(role: 'entry' | 'agent', name: string, incarnation = 7): Hello {
  return {
    kind: 'hello',
    protocol: 1,
    deployment: 'test',
    role,
    dataCentre: 'dc1',
    region: 'r1',
    name,
    incarnation,
    purpose: 'data',
    peers: [],
    configVersion: 1,
  };
}

/** Creates a request of a caller for the service `lookup`. */
export function createCallerRequest(
  caller: number,
  method = 'GET',
  overrides: Partial<CallerRequest> = {},
): CallerRequest {
  return {
    kind: 'caller-request',
    caller,
    service: 'lookup',
    method,
    path: '/',
    headers: [],
    body: new Uint8Array(),
    timeoutMs: 1000,
    ...overrides,
  };
}

/** Creates an entry that is connected to the given agents, which all offer `lookup`. */
export function createEntryWithHosts(...agents: string[]): EntryRequests {
  const entry = new EntryRequests({incarnation: 1, dataCentre: 'dc1', region: 'r1'});
  const lookup = workload('lookup', 'normal', 4);
  entry.reduce({kind: 'configuration', configuration: configuration(lookup)}, 0);
  for (const peer of agents) {
    entry.reduce({kind: 'peer-up', peer, hello: hello('agent', peer)}, 0);
    entry.reduce({kind: 'announce', peer, message: announce(peer)}, 0);
  }
  return entry;
}

/** Creates the announcement of a host that offers `lookup`. */
export function announce(host: string, draining = false) {
  const offer = {services: ['lookup'], slots: 8, connections: 64, draining};
  return {kind: 'announce', host, rack: 'rack', capacity: resources, ...offer} as const;
}

/** Creates an agent that is connected to one entry and has one backend server for `lookup`. */
export function createAgentWithBackend(slots = 8): AgentExchanges {
  const agent = new AgentExchanges({host: 'host', rack: 'rack', capacity: {...resources, slots}});
  agent.reduce({kind: 'peer-up', peer: 'entry', hello: hello('entry', 'entry')}, 0);
  agent.reduce(
    {
      kind: 'backend-announced',
      url: 'http://127.0.0.1:1',
      services: ['lookup'],
      slots: 8,
      connections: 64,
      draining: false,
    },
    0,
  );
  return agent;
}
