import t from 'tap';
import {ColocationPolicy, type ColocationAction} from '../../src/colocation/colocation-policy.js';
import {CellHost} from '../../src/tasks/cell/cell-host.js';
import type {TaskRun} from '../../src/tasks/cell/task-run.js';

function createRun(change: Partial<TaskRun> & {readonly workload: string}): TaskRun {
  return {
    id: `${change.workload}/0`,
    team: 'press',
    kind: 'batch',
    urgency: 'normal',
    index: 0,
    attempt: 1,
    host: 'host-0',
    reserved: {processors: 1_000, memoryMb: 100, accelerators: 0, slots: 1},
    startedAt: 0,
    startedWithoutCheckpoint: true,
    usesLentQuota: false,
    state: 'running',
    stopSentAt: 0,
    releaseAt: 0,
    fraction: 1,
    progress: 0,
    checkpointAt: 0,
    ...change,
  };
}

function createHost(): {host: CellHost; batch: TaskRun} {
  const host = new CellHost({name: 'host-0', dataCentre: 'west', region: 'west', rack: 'r'});
  const batch = createRun({workload: 'proof'});
  host.add(createRun({workload: 'prices', kind: 'service'}));
  host.add(batch);
  return {host, batch};
}

/** Reports one ratio every 5 s, applies the throttles to the batch run and returns all actions. */
function reportRatios(ratios: readonly number[]): ColocationAction[] {
  const {host, batch} = createHost();
  const policy = new ColocationPolicy();
  const actions: ColocationAction[] = [];
  ratios.forEach((ratio, report) => {
    const at = 60_000 + report * 5_000;
    for (let sample = at - 5_000; sample < at; sample += 1_000) policy.sample(host, sample);
    for (const action of policy.report(host, 'prices', ratio, at)) {
      actions.push(action);
      if (action.kind === 'throttle') batch.fraction = action.fraction;
    }
  });
  return actions;
}

const cases = [
  {
    name: 'high reports that are not consecutive do not throttle',
    ratios: [1.3, 1, 1.3, 1, 1.3],
    expected: [],
  },
  {name: 'three high reports throttle to 50%', ratios: [1.3, 1.3, 1.3], expected: [0.5]},
  {name: 'two severe reports throttle to 25%', ratios: [1.6, 1.6], expected: [0.25]},
  {
    name: 'reports on windows before a throttle are not counted after it',
    ratios: [1.6, 1.6, 1.6, 1.6],
    expected: [0.25],
  },
  {
    name: 'a task that still interferes at the lowest limit is moved',
    ratios: [1.6, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6],
    expected: [0.25, 'move'],
  },
  {
    name: 'five good reports raise the limit of the task',
    ratios: [1.6, 1.6, 1.01, 1.01, 1.01, 1.01, 1.01, 1.01, 1.01, 1.01],
    expected: [0.25, 0.5],
  },
];

for (const {name, ratios, expected} of cases) {
  void t.test(`throttling by latency reports that arrive late: ${name}`, async t => {
    const actions = reportRatios(ratios).map(action =>
      action.kind === 'throttle' ? action.fraction : action.kind,
    );
    t.same(actions, expected);
  });
}

void t.test(
  'a batch workload without measurements does not start beside a service without latency headroom',
  async t => {
    const {host} = createHost();
    const policy = new ColocationPolicy();
    const workload = {
      kind: 'batch' as const,
      name: 'scan',
      team: 'press',
      urgency: 'normal' as const,
      grant: {slots: 0, processors: 0},
      resources: {processors: 1_000, memoryMb: 100, accelerators: 0, slots: 1},
      tasks: 1,
    };
    host.latencyRatio = 1.1;
    t.equal(policy.getCost(host, workload, 0), Number.POSITIVE_INFINITY);
  },
);
