import t from 'tap';
import type {Step} from '../../../src/submissions/index.js';
import {advisedQueue, EvacuationFleet, plainQueue} from '../fleet/evacuation-fleet.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';

/** Times in milliseconds at which the data centre is evacuated and taken back, and the simulation ends. */
const evacuatedAt = 3_000;
const takenBackAt = 9_000;
const endsAt = 16_000;
/** Time in milliseconds between two submissions. */
const submitIntervalMs = 250;

interface Case {
  readonly name: string;
  readonly step: Partial<Step> & {readonly cores?: number};
  readonly queue?: string;
  /** Acts on the fleet just after the evacuation. */
  readonly disturb?: (fleet: EvacuationFleet) => void;
}

const cases: readonly Case[] = [
  {name: 'first starts', step: {count: 8, cores: 2}},
  {name: 'gangs', step: {count: 4, cores: 2, gang: true}},
  {name: 'filling tasks', step: {count: 4, cores: 3, fills: true, image: 'press'}},
  {name: 'tasks with tickets', step: {count: 4, cores: 1}, queue: advisedQueue.key},
  {name: 'speculative copies', step: {count: 4, cores: 1, speculative: true}},
  {
    name: 'restarts of failed runs',
    step: {count: 6, cores: 2, estimatedMs: 700},
    disturb: fleet => {
      for (const worker of fleet.workers.values()) {
        for (const task of [...worker.runs.keys()].slice(0, 2)) worker.fail(task);
      }
    },
  },
  {
    name: 'moves of stragglers',
    step: {count: 4, cores: 2, checkpoints: true},
    disturb: fleet => {
      for (const worker of fleet.workers.values())
        if (worker.dataCentre !== 'east') worker.slowness = 6;
    },
  },
  {
    name: 'serving tasks that restart, for which room is reserved',
    step: {count: 1, cores: 7, lasting: true},
    disturb: fleet => {
      for (const worker of fleet.workers.values()) {
        for (const task of worker.runs.keys()) worker.fail(task);
      }
    },
  },
];

for (const {name, step, queue = plainQueue.key, disturb} of cases) {
  void t.test(`nothing is placed in an evacuated data centre: ${name}`, async t => {
    const fleet = new EvacuationFleet(6);
    let submitted = 0;
    const submitUntil = (until: number) => {
      for (let at = fleet.now; at < until; at += submitIntervalMs) {
        // Serving tasks stay, so there must be room for all of them.
        if (!step.lasting || submitted < 8) {
          const id = (0xa0 + submitted).toString(16).padStart(16, '0');
          fleet.submit(createSubmission(id, queue, [createStep({estimatedMs: 900, ...step})]));
          submitted += 1;
        }
        fleet.run(at + submitIntervalMs);
      }
    };
    submitUntil(evacuatedAt);
    t.not(fleet.getPlacements('east', 0).length, 0, 'the data centre is in use');
    fleet.evacuate('east');
    disturb?.(fleet);
    submitUntil(takenBackAt);
    t.same(fleet.getPlacements('east', evacuatedAt), [], 'no start while it is evacuated');
    t.not(fleet.getPlacements('west', evacuatedAt).length, 0, 'work goes on elsewhere');
    fleet.evacuate();
    // More than the other data centres have room for.
    const large = createStep({count: 48, cores: 2, estimatedMs: 900});
    fleet.submit(createSubmission('00000000000000ff', plainQueue.key, [large]));
    fleet.run(endsAt);
    t.not(fleet.getPlacements('east', takenBackAt).length, 0, 'work after it was taken back');
  });
}

const sequences: ReadonlyArray<{
  readonly name: string;
  /** Data centres that are evacuated from each second on. */
  readonly sets: ReadonlyArray<readonly string[]>;
}> = [
  {name: 'two data centres at the same time', sets: [['east', 'west'], ['east', 'west'], []]},
  {name: 'a second one while the first is evacuated', sets: [['east'], ['east', 'west'], ['west']]},
  {name: 'one again soon after it was taken back', sets: [['east'], [], ['east'], [], ['east']]},
  {name: 'all of them', sets: [['east', 'west', 'south'], ['east', 'west', 'south'], []]},
];

for (const {name, sets} of sequences) {
  void t.test(`evacuations follow each other: ${name}`, async t => {
    const fleet = new EvacuationFleet(6);
    let submitted = 0;
    for (const set of [[], ...sets]) {
      fleet.evacuate(...set);
      const since = fleet.now;
      for (let index = 0; index < 4; index += 1) {
        const id = (0xa0 + submitted).toString(16).padStart(16, '0');
        const step = createStep({count: 24, cores: 4, estimatedMs: 200});
        fleet.submit(createSubmission(id, plainQueue.key, [step]));
        submitted += 1;
        fleet.run(fleet.now + 250);
      }
      for (const dataCentre of ['east', 'west', 'south']) {
        const placements = fleet.getPlacements(dataCentre, since);
        if (set.includes(dataCentre)) t.same(placements, [], `${dataCentre} gets nothing`);
        else t.not(placements.length, 0, `${dataCentre} gets work`);
      }
    }
  });
}

void t.test('a start in flight is refused by the agent and placed elsewhere', async t => {
  const fleet = new EvacuationFleet(3);
  // The agent knows of the evacuation before the owner does.
  fleet.workers.get('east-0')?.evacuations.update({revision: 2_000, dataCentres: ['east']});
  const id = '00000000000000a1';
  fleet.submit(createSubmission(id, plainQueue.key, [createStep({count: 12, cores: 3})]));
  fleet.run(6_000);
  const refused = fleet.decisions.filter(({event}) => event === 'run-refused');
  t.not(refused.length, 0, 'starts were in flight');
  t.ok(refused.every(({reason, worker}) => reason === 'evacuated' && worker === 'east-0@1'));
  t.ok(refused.length < 30, 'a worker that refuses is not asked again and again');
  t.equal(fleet.workers.get('east-0')?.ends.length, 0, 'nothing ran there');
  t.equal(fleet.progress.get(id)?.final, 'completed');
});

void t.test('an older set after a newer one does not take the evacuation back', async t => {
  const fleet = new EvacuationFleet(3);
  fleet.evacuate('east');
  fleet.post({kind: 'evacuations', set: {revision: 5, dataCentres: []}});
  fleet.submit(
    createSubmission('00000000000000a1', plainQueue.key, [createStep({count: 10, cores: 2})]),
  );
  fleet.run(2_000);
  t.same(fleet.getPlacements('east', 0), []);
});

void t.test('a set that arrives before an ownership begins is kept', async t => {
  const fleet = new EvacuationFleet(3);
  const ownerless = fleet.dispatcher;
  ownerless.reduce({kind: 'end', reason: 'test'}, fleet.now);
  const set = {revision: 2_000, dataCentres: ['east']};
  t.same(
    ownerless.reduce({kind: 'evacuations', set}, fleet.now).map(effect => effect.kind),
    ['log', 'count'],
    'a process without the ownership sends nothing to agents',
  );
  t.same(ownerless.evacuations, set);
  const submissions = [
    {
      submission: createSubmission('00000000000000a1', plainQueue.key, [
        createStep({count: 10, cores: 2}),
      ]),
      cancelled: false,
    },
  ];
  fleet.submissions.set('00000000000000a1', submissions[0]!.submission);
  fleet.post({kind: 'begin', term: 999, generation: 9, submissions, roster: [], wallMs: 0});
  t.same(ownerless.evacuations, set, 'the beginning of an ownership keeps it');
});

void t.test('the published backlogs do not count an evacuated data centre at once', async t => {
  const fleet = new EvacuationFleet(6);
  fleet.run(1_000);
  const getCores = () => fleet.dispatcher.getQueueBacklogs(fleet.now)?.get(plainQueue)?.cores;
  t.equal(getCores(), 96);
  fleet.evacuate('east');
  t.equal(getCores(), 64);
  fleet.evacuate('east', 'west', 'south');
  t.equal(getCores(), 0);
  fleet.evacuate();
  t.equal(getCores(), 96);
});

void t.test('the published waits count serving tasks that have to leave', async t => {
  const fleet = new EvacuationFleet(6);
  const serving = createStep({count: 6, cores: 8, lasting: true, spreadLimit: 1});
  fleet.submit(createSubmission('00000000000000a1', plainQueue.key, [serving]));
  fleet.run(1_000);
  const work = createStep({count: 200, cores: 2, estimatedMs: 20_000});
  fleet.submit(createSubmission('00000000000000a2', plainQueue.key, [work]));
  fleet.run(2_000);
  const getWaitMs = () =>
    fleet.dispatcher.getQueueBacklogs(fleet.now)?.get(plainQueue)?.waitMs ?? 0;
  const before = getWaitMs();
  fleet.evacuate('east');
  // Of 96 processors, 48 serve and 48 are left for other work; without the data centre only 16 are.
  t.equal(Math.round(getWaitMs() / before), 3);
});
