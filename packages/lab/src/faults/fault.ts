import type {Interaction} from './kernel/interaction.js';
import type {World} from './world.js';

/** One kind of fault; `strike` tells whether it could be applied to this step. */
export interface Fault {
  readonly name: string;
  strike(world: World, interaction: Interaction): boolean;
}

const restartMs = [1_200, 5_000] as const;

/** Longer than the time limits of heartbeats, of store leases and of task leases, respectively. */
const freezeChoicesMs = [1_500, 4_500, 14_000] as const;
const cutChoicesMs = [600, 4_000, 15_000] as const;

function getProcess(world: World, interaction: Interaction, role: 'entry' | 'agent') {
  const near = [interaction.from, interaction.to].map(name => world.processes.get(name));
  const all = [...near, ...world.processes.values()];
  return all.find(process => process?.alive && process.options.role === role);
}

function kill(role: 'entry' | 'agent') {
  return (world: World, interaction: Interaction) => {
    const process = getProcess(world, interaction, role);
    if (!process) return false;
    process.kill();
    const {simulation} = world;
    simulation.schedule(simulation.random.between(...restartMs), () => process.start());
    return true;
  };
}

function freeze(role: 'entry' | 'agent') {
  return (world: World, interaction: Interaction) => {
    const process = getProcess(world, interaction, role);
    if (!process) return false;
    process.freeze();
    const {life} = process;
    const {simulation} = world;
    simulation.schedule(simulation.random.pick(freezeChoicesMs), () => {
      if (process.life === life) process.wake();
    });
    return true;
  };
}

function getHost(world: World, interaction: Interaction): string | undefined {
  const names = [interaction.to, interaction.from].map(name => name.replace('worker:', ''));
  return names.find(name => world.hosts.includes(name)) ?? world.hosts[0];
}

/** Every fault of the design page that can be applied to a step; the columns of the matrix. */
export const faults: readonly Fault[] = [
  {name: 'kill-entry', strike: kill('entry')},
  {name: 'kill-agent', strike: kill('agent')},
  {
    name: 'kill-host',
    strike(world, interaction) {
      const host = getHost(world, interaction);
      if (host) world.killHost(host, world.simulation.random.between(2_000, 20_000));
      return host !== undefined;
    },
  },
  {
    name: 'cut',
    strike: (world, {from, to}) => world.cut(from, to, world.simulation.random.pick(cutChoicesMs)),
  },
  {name: 'freeze-entry', strike: freeze('entry')},
  {name: 'freeze-agent', strike: freeze('agent')},
  {
    name: 'lost-answer',
    strike(world, {step, from, to, point, carriage}) {
      if (point === 'after-answer') return false;
      if (!step.startsWith('worker:') && !step.startsWith('backend:')) {
        return world.loseAnswer(to, from);
      }
      carriage.lost = point === 'before-answer';
      return carriage.lost;
    },
  },
  {
    name: 'store-outage',
    strike: world => world.stopStore(world.simulation.random.pick([2_000, 8_000, 25_000])),
  },
  {name: 'store-slow', strike: world => world.slowStore(15_000)},
  {name: 'race', strike: world => world.raceOperators()},
  {
    name: 'duplicate',
    strike(_world, {point, carriage}) {
      if (point === 'after-answer') return false;
      carriage.copies++;
      return true;
    },
  },
  {
    name: 'reorder',
    strike(world, {point, carriage}) {
      if (point !== 'before-send' && point !== 'before-effect') return false;
      carriage.delayMs += world.simulation.random.between(20, 1_500);
      return true;
    },
  },
  {
    name: 'clock-drift',
    strike(world, interaction) {
      const entry = getProcess(world, interaction, 'entry');
      const agent = getProcess(world, interaction, 'agent');
      // The lease wait allows for a drift of 1% between two clocks.
      const sign = world.simulation.random.pick([-1, 1]);
      entry?.setClockRate(1 + sign * 0.0045);
      agent?.setClockRate(1 - sign * 0.0045);
      return entry !== undefined || agent !== undefined;
    },
  },
  {
    name: 'failing-worker',
    strike(world, interaction) {
      const host = getHost(world, interaction);
      if (host) world.failHost(host, 20_000);
      return host !== undefined;
    },
  },
  {name: 'cancel', strike: world => world.cancel()},
];

/** Returns a fault by its name. */
export function getFaultOrThrow(name: string): Fault {
  const fault = faults.find(candidate => candidate.name === name);
  if (!fault) throw new RangeError(`No fault is called ${name}`);
  return fault;
}
