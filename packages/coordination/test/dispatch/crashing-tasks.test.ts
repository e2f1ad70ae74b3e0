import t from 'tap';
import type {Step} from '../../src/submissions/index.js';
import {CrashingFleet, queue, type CrashingFleetOptions} from './fleet/crashing-fleet.js';
import {createStep, createSubmission} from './fleet/shared-load.js';
import {createQueue} from './fleet/virtual-fleet.js';

const deadlyId = '00000000000000d1';
const innocentIds = Array.from({length: 8}, (_, index) => `00000000000000a${index}`);
/** A task is started less than three times more after three workers have crashed under it. */
const maxCrashes = 5;

/** Submits a submission whose first task crashes workers between others whose tasks do not. */
function submitAll(fleet: CrashingFleet, deadlyStep: Step): void {
  innocentIds.forEach((id, index) => {
    if (index === 4) fleet.submit(createSubmission(deadlyId, queue.key, [deadlyStep]));
    fleet.submit(createSubmission(id, queue.key, [createStep({count: 6, estimatedMs: 1_500})]));
  });
}

const cases: ReadonlyArray<{
  readonly name: string;
  readonly step?: Partial<Step>;
  readonly options?: CrashingFleetOptions;
  /** Time in milliseconds between two changes of the owner. */
  readonly takeoverMs?: number;
}> = [
  {name: 'soon after its start'},
  {
    name: 'after more than a second',
    step: {estimatedMs: 5_000},
    options: {getCrashDelayMs: task => getDelay(task, 1_500)},
  },
  {name: 'and belongs to a gang', step: {gang: true}},
  {name: 'and has tasks of its step beside it', step: {count: 20}},
  {
    name: 'and has siblings that do the same',
    step: {count: 20},
    options: {getCrashDelayMs: task => (task.startsWith(deadlyId) ? 10 : undefined)},
  },
  {name: 'while owners change', takeoverMs: 1_700},
  {name: 'and only the next incarnation shows it', options: {areCrashesReported: false}},
];

function getDelay(task: string, delayMs = 10): number | undefined {
  return task === `${deadlyId}.0.0.0` ? delayMs : undefined;
}

for (const {name, step, options, takeoverMs} of cases) {
  void t.test(`a task that crashes its workers ${name} is given up in time`, async t => {
    const fleet = new CrashingFleet({getCrashDelayMs: getDelay, ...options});
    submitAll(fleet, createStep({count: 3, estimatedMs: 800, ...step}));
    while (fleet.now < 60_000) {
      fleet.run(fleet.now + (takeoverMs ?? 60_000));
      // The previous owner's messages are lost with it.
      if (takeoverMs !== undefined && fleet.now < 12_000) fleet.startOwner();
    }
    for (const [task, crashes] of fleet.crashes) {
      t.ok(crashes <= maxCrashes, `${task} has crashed ${crashes} workers`);
    }
    t.equal(fleet.progress.get(deadlyId)?.final, 'failed');
    for (const id of innocentIds) t.equal(fleet.progress.get(id)?.final, 'completed', id);
  });
}

for (const delayMs of [200, 400]) {
  void t.test(
    `a task that crashes its workers after ${delayMs} ms is given up in time beside young work of others`,
    async t => {
      const getCrashDelayMs = (task: string) => getDelay(task, delayMs);
      const fleet = new CrashingFleet({getCrashDelayMs});
      fleet.submit(createSubmission(deadlyId, queue.key, [createStep({estimatedMs: 5_000})]));
      const step = createStep({count: 20, estimatedMs: 1_500});
      for (let count = 1; fleet.now < 30_000; count += 1) {
        fleet.submit(createSubmission(count.toString(16).padStart(16, '0'), queue.key, [step]));
        fleet.run(fleet.now + 300);
      }
      const crashes = fleet.crashes.get(`${deadlyId}.0.0.0`) ?? 0;
      t.ok(crashes <= maxCrashes, `${crashes} workers have crashed`);
    },
  );
}

// A serving task has no limit of attempts, so a worker's crash cannot end its submission either.
void t.test(
  'a serving task that crashes its workers is not given up, and harms no other',
  async t => {
    const fleet = new CrashingFleet({getCrashDelayMs: getDelay});
    submitAll(fleet, createStep({count: 3, estimatedMs: 800, lasting: true}));
    fleet.run(60_000);
    t.equal(fleet.dispatcher.getStatus(deadlyId), 'running');
    t.ok((fleet.crashes.get(`${deadlyId}.0.0.0`) ?? 0) > maxCrashes, 'it is started again');
    for (const index of [1, 2]) t.equal(fleet.countRuns(`${deadlyId}.0.0.${index}`), 1);
    for (const id of innocentIds) t.equal(fleet.progress.get(id)?.final, 'completed', id);
  },
);

void t.test(
  'a submission that is given up is shown as failed only once that is stored',
  async t => {
    const fleet = new CrashingFleet({getCrashDelayMs: getDelay});
    submitAll(fleet, createStep({count: 3}));
    let wasShownEarly = false;
    for (let at = 0; at < 20_000; at += 25) {
      fleet.run(at);
      const isStored = fleet.progress.get(deadlyId)?.final === 'failed';
      if (fleet.dispatcher.getStatus(deadlyId) === 'failed' && !isStored) wasShownEarly = true;
    }
    t.notOk(wasShownEarly);
    t.equal(fleet.dispatcher.getStatus(deadlyId), 'failed');
  },
);

const innocentId = '00000000000000b1';
const endings: ReadonlyArray<{
  readonly name: string;
  readonly end: (fleet: CrashingFleet, agent: string, life: string) => void;
}> = [
  {
    name: 'leaves with a farewell',
    end: (fleet, agent, life) => {
      const message = {kind: 'worker-gone', life, reason: 'farewell'} as const;
      fleet.post({kind: 'message', agent, message});
      fleet.replace(agent, `${life}+`);
    },
  },
  {
    name: 'is silent until its lease has ended, and lives',
    end: (fleet, agent) => {
      fleet.silences.set(agent, 'both');
      fleet.plan(9_000, () => fleet.silences.delete(agent));
    },
  },
  {
    name: 'is disconnected until its lease has ended, and lives',
    end: (fleet, agent) => {
      const worker = fleet.workers.get(agent);
      fleet.silences.set(agent, 'both');
      fleet.post({kind: 'agent-down', agent});
      fleet.plan(9_000, () => {
        fleet.silences.delete(agent);
        if (worker) fleet.connect(worker);
      });
    },
  },
  {
    name: 'crashes although the task has worked for long',
    end: (fleet, agent) => fleet.plan(11_000, () => fleet.crash(agent)),
  },
];

for (const {name, end} of endings) {
  void t.test(`a task is not given up because its worker ${name}, time and again`, async t => {
    const fleet = new CrashingFleet();
    const step = createStep({count: 1, estimatedMs: 25_000});
    fleet.submit(createSubmission(innocentId, queue.key, [step]));
    for (let ends = 0; ends < 6; ends += 1) {
      fleet.run(fleet.now + 300);
      const task = `${innocentId}.0.0.0`;
      const worker = [...fleet.workers.values()].find(candidate => candidate.runs.has(task));
      if (worker) end(fleet, worker.options.agent, worker.options.life);
      fleet.run(fleet.now + 14_000);
    }
    fleet.run(fleet.now + 60_000);
    t.ok(fleet.countStarts(`${innocentId}.0.0.0`) >= 6, 'the task was started again');
    t.equal(fleet.progress.get(innocentId)?.final, 'completed');
  });
}

void t.test('a task lost with one worker is cleared once it works elsewhere', async t => {
  const fleet = new CrashingFleet();
  const step = createStep({count: 6, estimatedMs: 20_000});
  fleet.submit(createSubmission(innocentId, queue.key, [step]));
  fleet.run(200);
  fleet.crash('w0');
  fleet.run(1_000);
  t.not(fleet.progress.get(innocentId)?.crashes?.length ?? 0, 0, 'the crash is stored');
  fleet.run(12_000);
  t.same(fleet.progress.get(innocentId)?.crashes ?? [], []);
});

void t.test('serving tasks that are lost with their worker get room on full ones', async t => {
  const servingQueue = createQueue({name: 'serving', priority: 1});
  const fleet = new CrashingFleet({workerCount: 3, queues: [queue, servingQueue]});
  const servingId = '00000000000000c1';
  const serving = createStep({count: 3, cores: 5, lasting: true});
  fleet.submit(createSubmission(servingId, servingQueue.key, [serving]));
  const countServing = () =>
    [0, 1, 2].filter(index => fleet.countRuns(`${servingId}.0.0.${index}`) > 0).length;
  while (countServing() < 3 && fleet.now < 1_000) fleet.run(fleet.now + 25);
  const urgent = createStep({count: 600, cores: 1, estimatedMs: 1_500});
  fleet.submit(createSubmission(innocentId, queue.key, [urgent]));
  fleet.run(fleet.now + 50);
  for (const [agent, {runs}] of fleet.workers) {
    if ([...runs.keys()].some(task => task.startsWith(servingId))) fleet.crash(agent);
  }
  const crashedAt = fleet.now;
  fleet.run(crashedAt + 4_000);
  t.ok(countServing() > 0, 'a task works after 4 s');
  fleet.run(crashedAt + 10_000);
  t.equal(countServing(), 3, 'all tasks work after 10 s');
});

void t.test(
  'a start without an answer is not blamed when its worker works on and crashes later',
  async t => {
    const fleet = new CrashingFleet();
    for (const worker of fleet.workers.values()) worker.isUnresponsive = true;
    const step = createStep({count: 1, estimatedMs: 4_000});
    fleet.submit(createSubmission(innocentId, queue.key, [step]));
    for (let crashes = 0; crashes < 6; crashes += 1) {
      fleet.run(fleet.now + 1_500);
      const start = fleet.undelivered.at(-1);
      if (start) fleet.crash(start.agent);
      fleet.run(fleet.now + 2_000);
      for (const worker of fleet.workers.values()) worker.isUnresponsive = crashes < 5;
    }
    t.same(
      fleet.decisions.filter(({event}) => event === 'task-given-up'),
      [],
    );
    fleet.run(fleet.now + 30_000);
    t.equal(fleet.progress.get(innocentId)?.final, 'completed');
  },
);
