import type {Interaction} from './kernel/interaction.js';
import type {World} from './world.js';

/** One kind of fault. */
export interface Fault {
  readonly name: string;
  /** Injects the fault at an interaction; returns false when it does not apply to the interaction or the world. */
  inject(world: World, interaction: Interaction): boolean;
}

/** Shortest and longest time until a killed process starts again. */
const restartDelayRangeMs = [1_200, 5_000] as const;

/** Longer than the heartbeat interval of 1 s, the store lease of 3 s and the task lease of 10 s, respectively. */
const freezeDurationsMs = [1_500, 4_500, 14_000] as const;

/** Shorter than the heartbeat interval, longer than the store lease, and longer than the task lease, respectively. */
const cutDurationsMs = [600, 4_000, 15_000] as const;

/** Returns a running process of a role: an end of the interaction, or else any; undefined when none runs. */
function findProcess(world: World, interaction: Interaction, role: 'entry' | 'agent') {
  const endpoints = [interaction.from, interaction.to].map(name => world.processes.get(name));
  const candidates = [...endpoints, ...world.processes.values()];
  return candidates.find(process => process?.isAlive && process.options.role === role);
}

function createProcessKill(role: 'entry' | 'agent') {
  return (world: World, interaction: Interaction) => {
    const process = findProcess(world, interaction, role);
    if (!process) return false;
    process.kill();
    const {simulation} = world;
    simulation.schedule(simulation.random.between(...restartDelayRangeMs), () => process.start());
    return true;
  };
}

function createProcessFreeze(role: 'entry' | 'agent') {
  return (world: World, interaction: Interaction) => {
    const process = findProcess(world, interaction, role);
    if (!process) return false;
    process.freeze();
    const {life} = process;
    const {simulation} = world;
    simulation.schedule(simulation.random.pick(freezeDurationsMs), () => {
      if (process.life === life) process.resume();
    });
    return true;
  };
}

/** Returns the host at an end of the interaction, or else the first host; undefined in a world without hosts. */
function findHost(world: World, interaction: Interaction): string | undefined {
  const names = [interaction.to, interaction.from].map(name => name.replace('worker:', ''));
  return names.find(name => world.hosts.includes(name)) ?? world.hosts[0];
}

/** All faults of the design document that can be injected at a protocol step, in the order of the matrix columns. */
export const faults: readonly Fault[] = [
  {name: 'kill-entry', inject: createProcessKill('entry')},
  {name: 'kill-agent', inject: createProcessKill('agent')},
  {
    name: 'kill-host',
    inject(world, interaction) {
      const host = findHost(world, interaction);
      if (host) world.killHost(host, world.simulation.random.between(2_000, 20_000));
      return host !== undefined;
    },
  },
  {
    name: 'cut',
    inject: (world, {from, to}) =>
      world.cut(from, to, world.simulation.random.pick(cutDurationsMs)),
  },
  {name: 'freeze-entry', inject: createProcessFreeze('entry')},
  {name: 'freeze-agent', inject: createProcessFreeze('agent')},
  {
    name: 'lost-answer',
    inject(world, {step, from, to, point, delivery}) {
      if (point === 'after-answer') return false;
      if (!step.startsWith('worker:') && !step.startsWith('backend:')) {
        return world.loseAnswer(to, from);
      }
      delivery.lost = point === 'before-answer';
      return delivery.lost;
    },
  },
  {
    name: 'store-outage',
    inject: world => world.stopStore(world.simulation.random.pick([2_000, 8_000, 25_000])),
  },
  {name: 'store-slow', inject: world => world.slowStore(15_000)},
  {name: 'race', inject: world => world.raceOperators()},
  {
    name: 'duplicate',
    inject(_world, {point, delivery}) {
      if (point === 'after-answer') return false;
      delivery.copies++;
      return true;
    },
  },
  {
    name: 'reorder',
    inject(world, {point, delivery}) {
      if (point !== 'before-send' && point !== 'before-effect') return false;
      delivery.delayMs += world.simulation.random.between(20, 1_500);
      return true;
    },
  },
  {
    name: 'clock-drift',
    inject(world, interaction) {
      const entry = findProcess(world, interaction, 'entry');
      const agent = findProcess(world, interaction, 'agent');
      // The wait for a lease to expire allows for 1% drift between two clocks; this sets 0.9% between them.
      const sign = world.simulation.random.pick([-1, 1]);
      entry?.setClockRate(1 + sign * 0.0045);
      agent?.setClockRate(1 - sign * 0.0045);
      return entry !== undefined || agent !== undefined;
    },
  },
  {
    name: 'failing-worker',
    inject(world, interaction) {
      const host = findHost(world, interaction);
      if (host) world.failHost(host, 20_000);
      return host !== undefined;
    },
  },
  {name: 'cancel', inject: world => world.cancel()},
];

/** Returns the fault of a name; throws a RangeError when there is none. */
export function getFaultOrThrow(name: string): Fault {
  const fault = faults.find(candidate => candidate.name === name);
  if (!fault) throw new RangeError(`unknown fault: ${name}`);
  return fault;
}
