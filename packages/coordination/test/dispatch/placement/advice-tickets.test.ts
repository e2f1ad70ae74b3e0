import t from 'tap';
import type {Step} from '../../../src/submissions/index.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createQueue, VirtualFleet} from '../fleet/virtual-fleet.js';

const advised = createQueue({name: 'advised', advice: {decisionMs: 50, perWorkerMs: 5}});
const plain = createQueue({name: 'plain'});
const id = '00000000000000a1';
/** Time in milliseconds in which all cases must be finished; a lost request costs about 2 s. */
const endMs = 12_000;

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly workers?: number;
  readonly prepare?: (fleet: VirtualFleet) => void;
  /** Called in each simulation step. */
  readonly disturb?: (fleet: VirtualFleet) => void;
  /** Largest number of requests. */
  readonly requests: number;
}

const short = createStep({count: 4, cores: 2, estimatedMs: 500});

/** Replaces each worker once, 200 ms after the first one has got a run. */
function createReplacement(): (fleet: VirtualFleet) => void {
  let replaceAt: number | undefined;
  let hasReplaced = false;
  return fleet => {
    if (replaceAt === undefined && fleet.countRuns(`${id}.0.0.0`) > 0) replaceAt = fleet.now + 200;
    if (hasReplaced || replaceAt === undefined || fleet.now < replaceAt) return;
    hasReplaced = true;
    for (const agent of [...fleet.workers.keys()]) fleet.replace(agent, `${agent}-second`);
  };
}

function createTakeover(): (fleet: VirtualFleet) => void {
  let hasTakenOver = false;
  return fleet => {
    if (hasTakenOver || fleet.now < 1_000) return;
    hasTakenOver = true;
    fleet.startOwner();
  };
}

const cases: readonly Case[] = [
  {name: 'tasks start with tickets', steps: [short], requests: 1},
  {
    name: 'tasks run only on the workers that are allowed',
    steps: [short],
    workers: 8,
    prepare: fleet => (fleet.advisor.isAllowed = (_, worker) => worker === 'life-5'),
    requests: 1,
  },
  {
    name: 'more workers are named when those of the first request are not allowed',
    steps: [short],
    workers: 70,
    prepare: fleet => (fleet.advisor.isAllowed = (_, worker) => worker === 'life-66'),
    requests: 3,
  },
  {
    name: 'each step has its own tickets',
    steps: [short, {...short, after: [0]}],
    prepare: fleet =>
      (fleet.advisor.isAllowed = (step, worker) =>
        worker === (step.endsWith('.0') ? 'life-0' : 'life-1')),
    requests: 2,
  },
  {
    name: 'tickets that expire while tasks wait for room are replaced',
    steps: [createStep({count: 24, cores: 16, estimatedMs: 1_000})],
    prepare: fleet => (fleet.advisor.validityMs = 1_500),
    requests: 12,
  },
  {
    name: 'a request that is lost is repeated',
    steps: [short],
    prepare: fleet => (fleet.advisor.lostRequests = 1),
    requests: 2,
  },
  {
    name: 'a request that is refused is repeated after a delay',
    steps: [short],
    prepare: fleet => (fleet.advisor.refusedRequests = 3),
    requests: 4,
  },
  {
    name: 'a new incarnation of a worker needs a new ticket',
    steps: [createStep({count: 2, cores: 2, estimatedMs: 1_500})],
    disturb: createReplacement(),
    requests: 4,
  },
  {
    name: 'a new owner requests tickets of its own',
    steps: [createStep({count: 12, cores: 16, estimatedMs: 900})],
    disturb: createTakeover(),
    requests: 12,
  },
  {
    name: 'a gang starts on allowed workers only',
    steps: [createStep({count: 4, cores: 2, estimatedMs: 800, gang: true})],
    workers: 8,
    prepare: fleet => (fleet.advisor.isAllowed = (_, worker) => worker < 'life-4'),
    requests: 1,
  },
];

for (const {name, steps, workers = 4, prepare, disturb, requests} of cases) {
  void t.test(name, async t => {
    const fleet = new VirtualFleet({
      seed: 1,
      queues: [advised, plain],
      workers: Array.from({length: workers}, (_, index) => ({
        agent: `w${index}`,
        life: `life-${index}`,
        cores: 16,
        rack: 'r0',
      })),
    });
    prepare?.(fleet);
    const misplaced = new Set<string>();
    fleet.onStep = () => {
      disturb?.(fleet);
      for (const worker of fleet.workers.values()) {
        for (const task of worker.runs.keys()) {
          const step = task.slice(0, task.lastIndexOf('.'));
          const {life} = worker.options;
          if (task.startsWith(id) && !fleet.advisor.isAllowed(step, life))
            misplaced.add(`${task} on ${life}`);
        }
      }
    };
    fleet.run(500);
    fleet.submit(createSubmission(id, advised.key, steps, {acceptedAtMs: fleet.now}));
    fleet.submit(createSubmission('00000000000000b2', plain.key, [short]));
    fleet.run(endMs);
    t.ok(fleet.endedAt.has(id), 'the submission is finished');
    t.ok(fleet.endedAt.has('00000000000000b2'), 'work of other queues is not held up');
    t.same([...misplaced], []);
    const count = fleet.advisor.requests.length;
    t.ok(count >= 1 && count <= requests, `${count} requests`);
    const refusals = fleet.decisions.filter(({reason}) => reason === 'ticket');
    t.equal(refusals.length, 0, 'no start is refused for its ticket');
  });
}
