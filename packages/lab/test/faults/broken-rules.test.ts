import {
  AgentExchanges,
  AgentTasks,
  CellOwnership,
  CellScheduler,
  ConfigurationView,
  EntryRequests,
} from '@chervilbeam/coordination';
import t from 'tap';
import {parseCase, runCase} from '../../src/faults/fault-case.js';
import {worlds} from '../../src/faults/protocols.js';
import type {WorldFactory} from '../../src/faults/world.js';
import type {ConfigurationProcess} from '../../src/faults/worlds/configuration-process.js';
import {ConfigurationWorld} from '../../src/faults/worlds/configuration-world.js';
import type {RequestAgent} from '../../src/faults/worlds/request-agent.js';
import type {RequestEntryReducer, RequestEntry} from '../../src/faults/worlds/request-entry.js';
import {RequestWorld} from '../../src/faults/worlds/request-world.js';
import type {TaskAgent} from '../../src/faults/worlds/task-agent.js';
import type {TaskEntry, TaskEntryReducers} from '../../src/faults/worlds/task-entry.js';
import {TaskWorld} from '../../src/faults/worlds/task-world.js';
import type {PromiseName} from '../../src/histories/promise.js';

const createEntry = (entry: RequestEntry) =>
  new EntryRequests({incarnation: entry.incarnation, ...entry.options, seed: 1});
const createAgent = (agent: RequestAgent, slots = agent.capacity.slots) =>
  new AgentExchanges({host: agent.name, rack: 'r', capacity: {...agent.capacity, slots}});
const createTaskEntry = (entry: TaskEntry): TaskEntryReducers => ({
  ownership: new CellOwnership({
    cell: 'main',
    entry: entry.name,
    dataCentre: entry.options.dataCentre,
    incarnation: entry.incarnation,
    startedAt: entry.clock,
  }),
  scheduler: new CellScheduler({cell: 'main'}),
});
const createView = (process: ConfigurationProcess) =>
  new ConfigurationView({...process.options, incarnation: process.incarnation, seed: 1});

/** Returns a world whose entries run a changed reducer. */
function withEntry(change: (entry: RequestEntryReducer) => RequestEntryReducer): WorldFactory {
  return seed => new RequestWorld(seed, {createEntryReducer: entry => change(createEntry(entry))});
}

/** Returns a world whose entries run a changed scheduler. */
function withScheduler(
  change: (scheduler: TaskEntryReducers['scheduler']) => TaskEntryReducers['scheduler'],
): WorldFactory {
  const createEntryReducers = (entry: TaskEntry) => {
    const real = createTaskEntry(entry);
    return {...real, scheduler: change(real.scheduler)};
  };
  return seed => new TaskWorld(seed, {createEntryReducers});
}

interface BrokenRule {
  readonly name: string;
  readonly breaks: PromiseName;
  readonly createWorld: WorldFactory;
  /** Fault case in which the broken rule must be detected; without faults the scenario alone must show it. */
  readonly text: string;
}

const brokenRules: readonly BrokenRule[] = [
  {
    name: 'an agent that ignores the slots of its host',
    breaks: 'host-limits',
    text: 'requests seed=3',
    createWorld: seed =>
      new RequestWorld(seed, {
        createAgentReducer: agent => {
          const real = createAgent(agent, 100);
          return {
            reduce: (event, at) =>
              real.reduce(event.kind === 'backend-announced' ? {...event, slots: 100} : event, at),
          };
        },
      }),
  },
  {
    name: 'a scheduler and agents that assume ten times the capacity',
    breaks: 'host-limits',
    text: 'tasks seed=3',
    createWorld: seed => {
      const multiplyCapacity = <
        Resources extends {processors: number; memoryMb: number; slots: number},
      >(
        capacity: Resources,
      ) => ({
        ...capacity,
        processors: capacity.processors * 10,
        memoryMb: capacity.memoryMb * 10,
        slots: capacity.slots * 10,
      });
      return new TaskWorld(seed, {
        createEntryReducers: entry => {
          const {ownership, scheduler} = createTaskEntry(entry);
          return {
            ownership,
            scheduler: {
              reduce(event, at) {
                if (event.kind !== 'announce') return scheduler.reduce(event, at);
                const {message} = event;
                const capacity = multiplyCapacity(message.capacity);
                return scheduler.reduce({...event, message: {...message, capacity}}, at);
              },
            },
          };
        },
        createAgentReducer: (_agent: TaskAgent) => {
          const real = new AgentTasks();
          return {
            reduce: (event, at) =>
              real.reduce(
                event.kind === 'worker-state'
                  ? {...event, capacity: multiplyCapacity(event.capacity)}
                  : event,
                at,
              ),
          };
        },
      });
    },
  },
  {
    name: 'a scheduler that skips the lease wait',
    breaks: 'single-placement',
    text: 'tasks seed=16 cut@grant/before-send+3',
    createWorld: withScheduler(real => {
      let skippedMs = 0;
      return {
        reduce(event, at) {
          // The clock of the scheduler jumps when a host is lost, so that its wait for the lease ends at once. The
          // end of its ownership in later events is shifted as much.
          const shifted =
            event.kind === 'ownership' && event.until !== undefined
              ? {...event, until: event.until + skippedMs}
              : event;
          const effects = real.reduce(shifted, at + skippedMs);
          if (event.kind === 'host-down') skippedMs += 12_000;
          return effects;
        },
      };
    }),
  },
  {
    name: 'a scheduler that forgets checkpoints',
    breaks: 'resume-once',
    text: 'tasks seed=4',
    createWorld: withScheduler(real => ({
      reduce: (event, at) =>
        real.reduce(event, at).map(effect => {
          if (effect.kind !== 'send' || effect.message.kind !== 'start') return effect;
          return {...effect, message: {...effect.message, checkpoint: undefined}};
        }),
    })),
  },
  {
    name: 'an entry that returns a truncated answer as complete',
    breaks: 'whole-own-answer',
    text: 'requests seed=6',
    createWorld: withEntry(real => ({
      reduce: (event, at) =>
        real.reduce(event, at).map(effect => {
          if (effect.kind !== 'answer') return effect;
          return {...effect, body: effect.body.subarray(0, 1_000)};
        }),
    })),
  },
  {
    name: 'an entry that returns answers to the wrong caller',
    breaks: 'whole-own-answer',
    text: 'requests seed=6',
    createWorld: withEntry(real => {
      let previousBody: Uint8Array | undefined;
      return {
        reduce: (event, at) =>
          real.reduce(event, at).map(effect => {
            if (effect.kind !== 'answer' || effect.outcome !== 'answered') return effect;
            const body = previousBody ?? effect.body;
            previousBody = effect.body;
            return {...effect, body};
          }),
      };
    }),
  },
  {
    name: 'an entry that reports a request as not run because its connection was lost',
    breaks: 'not-run-is-true',
    text: 'requests seed=7 kill-agent@backend:exchange/before-answer+3',
    createWorld: withEntry(real => ({
      reduce: (event, at) =>
        real.reduce(event, at).map(effect => {
          if (effect.kind !== 'answer' || effect.outcome !== 'unknown') return effect;
          return {...effect, outcome: 'not-run' as const};
        }),
    })),
  },
  {
    name: 'an entry that retries a non-idempotent request after an unknown outcome',
    breaks: 'at-most-once',
    text: 'requests seed=8 kill-agent@backend:exchange/before-answer+3',
    createWorld: withEntry(real => ({
      reduce: (event, at) =>
        real.reduce(event.kind === 'caller-request' ? {...event, idempotent: true} : event, at),
    })),
  },
  {
    name: 'an agent that ignores that its backend server is draining',
    breaks: 'drained-no-new-work',
    text: 'requests seed=9',
    createWorld: seed =>
      new RequestWorld(seed, {
        createAgentReducer: agent => {
          const real = createAgent(agent);
          return {
            reduce: (event, at) =>
              real.reduce(
                event.kind === 'backend-announced' ? {...event, draining: false} : event,
                at,
              ),
          };
        },
      }),
  },
  {
    name: 'an entry that exits immediately when it is drained',
    breaks: 'graceful-shutdown',
    text: 'requests seed=10',
    createWorld: withEntry(real => ({
      reduce: (event, at) =>
        event.kind === 'drain' ? [{kind: 'drained'}] : real.reduce(event, at),
    })),
  },
  {
    name: 'a process that writes the configuration head without an expected revision',
    breaks: 'configuration-in-force',
    text: 'configuration seed=11 race@store:put:config/before-send+2',
    createWorld: seed =>
      new ConfigurationWorld(seed, {
        createReducer: process => {
          const real = createView(process);
          return {
            get configuration() {
              return real.configuration;
            },
            reduce: (event, at) =>
              real.reduce(event, at).map(effect => {
                if (effect.kind !== 'swap-head') return effect;
                return {...effect, expectedRevision: undefined as unknown as number};
              }),
          };
        },
      }),
  },
];

for (const rule of brokenRules) {
  // Guards against a history check that misses a violation, or that reports one for the production reducers.
  void t.test(`${rule.breaks}: the check catches ${rule.name}`, async t => {
    const faultCase = parseCase(rule.text);
    const broken = runCase(faultCase, rule.createWorld);
    t.ok(
      broken.violations.some(violation => violation.promise === rule.breaks),
      `broken rule, ${rule.text}`,
    );
    const real = runCase(faultCase, worlds[faultCase.world]!);
    t.equal(real.error, undefined, 'the production reducers throw no exception');
    t.same(real.violations, [], 'the production reducers keep all promises in the same case');
  });
}
