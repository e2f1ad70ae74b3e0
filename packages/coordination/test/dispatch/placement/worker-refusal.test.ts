import t from 'tap';
import {ActiveSubmission} from '../../../src/dispatch/active-submission.js';
import {DispatchState} from '../../../src/dispatch/dispatch-state.js';
import {defaultDispatchTiming} from '../../../src/dispatch/dispatch-timing.js';
import {InterferenceModel} from '../../../src/dispatch/interference/interference-model.js';
import {WorkerHeadroomCache} from '../../../src/dispatch/interference/worker-headroom.js';
import {AdviceTickets} from '../../../src/dispatch/placement/advice-tickets.js';
import {RoomReservations} from '../../../src/dispatch/placement/room-reservations.js';
import {WorkerSelector} from '../../../src/dispatch/placement/worker-selector.js';
import {RunCommands} from '../../../src/dispatch/run-commands.js';
import type {StepTasks} from '../../../src/dispatch/step-tasks.js';
import type {Task} from '../../../src/dispatch/task.js';
import {WorkerView} from '../../../src/dispatch/worker-view.js';
import type {Queue, Step} from '../../../src/submissions/index.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createQueue} from '../fleet/virtual-fleet.js';

/** Time of all decisions in milliseconds. */
const at = 100_000;
const plainQueue = createQueue({name: 'plain'});
const laterQueue = createQueue({name: 'later', priority: 1});
const advisedQueue = createQueue({name: 'advised', advice: {decisionMs: 50, perWorkerMs: 1}});
const need = {processors: 1, memoryMb: 500, accelerators: 0, slots: 0};

/** The dispatcher's view of two workers of 10 processors. */
class Service {
  readonly state = new DispatchState(defaultDispatchTiming);
  readonly tickets = new AdviceTickets(this.state);
  readonly commands = new RunCommands(this.state, this.tickets);
  readonly reservations = new RoomReservations(this.state, this.commands);
  readonly worker = this.addWorker('w0');
  readonly other = this.addWorker('w1');
  readonly interference = new InterferenceModel();
  private submissions = 0;

  /** Adds a submission of one step. */
  submit(step: Partial<Step> & {cores?: number}, queue: Queue = plainQueue): StepTasks {
    const id = `s${this.submissions++}`;
    const submission = createSubmission(id, queue.key, [createStep(step)]);
    const active = new ActiveSubmission({submission, queue, arrivedAt: at});
    active.openDueOccurrences(at, at);
    this.state.submissions.set(id, active);
    const group = active.getOccurrence(0)?.steps[0];
    if (group === undefined) throw new RangeError('no step');
    return group;
  }

  /** Starts the first task of a new submission on a worker. */
  run(step: Partial<Step> & {cores?: number}, worker = this.worker): Task {
    const task = this.submit(step).getTask(0);
    this.commands.start(task, worker, at);
    return task;
  }

  /** Makes a task a suspect that has crashed workers soon after its start. */
  suspect(task: Task, crashes: number): void {
    for (let life = 0; life < crashes; life += 1) task.crashes.add(`life-${life}`, 'early');
    task.submission.suspects.add(task);
  }

  createSelector(): WorkerSelector {
    const {state, interference, reservations, tickets} = this;
    const headrooms = new WorkerHeadroomCache(interference);
    return new WorkerSelector({state, interference, headrooms, reservations, tickets, at});
  }

  private addWorker(life: string): WorkerView {
    const capacity = {processors: 10, memoryMb: 10_000, accelerators: 1, slots: 0};
    const description = {life, id: life, service: 'service', dataCentre: 'dc', rack: 'r'};
    const worker = new WorkerView(life, {...description, labels: [], capacity, state: 'ready'}, at);
    worker.isReconciled = true;
    worker.isInRoster = true;
    worker.recordClock(at, at);
    this.state.workers.set(life, worker);
    return worker;
  }
}

function suspend({health}: WorkerView, since: number): void {
  for (let failures = 0; failures < 6; failures += 1) health.recordFailure(0, 100, since);
}

const closures: ReadonlyArray<{
  readonly closure: string | undefined;
  readonly act: (service: Service) => void;
}> = [
  {closure: undefined, act: () => {}},
  {closure: 'disconnected', act: ({worker}) => (worker.isConnected = false)},
  {closure: 'not-listed', act: ({worker}) => worker.requireToken(9)},
  {closure: 'not-in-roster', act: ({worker}) => (worker.isInRoster = false)},
  {
    closure: 'draining',
    act: ({worker}) => (worker.description = {...worker.description, state: 'draining'}),
  },
  {closure: 'unreachable', act: ({worker}) => (worker.lastContactAt = at - 2_500)},
  {closure: 'blocked', act: ({worker}) => (worker.blockedUntil = at + 1)},
  {
    closure: 'evacuated',
    act: ({state}) => state.evacuations.update({revision: 1, dataCentres: ['dc']}),
  },
  {closure: 'suspended', act: ({worker}) => suspend(worker, at - 100)},
  {closure: undefined, act: ({worker}) => suspend(worker, at - 10_000)},
  {
    closure: 'probation',
    act: service => {
      suspend(service.worker, at - 10_000);
      service.run({});
    },
  },
];

for (const [index, {closure, act}] of closures.entries()) {
  void t.test(`case ${index}: a worker is closed as ${closure}`, async t => {
    const service = new Service();
    act(service);
    t.equal(service.createSelector().getClosure(service.worker), closure);
    const task = service.submit({}).getTask(0);
    service.state.workers.delete('w1');
    const selected = service.createSelector().selectWorker(task, task.group, 0);
    t.equal(selected, closure === undefined ? service.worker : undefined);
  });
}

const refusals: ReadonlyArray<{
  readonly refusal: string | undefined;
  /** Prepares the worker and returns the step of the task that it is to get. */
  readonly act: (service: Service) => StepTasks;
}> = [
  {refusal: undefined, act: service => service.submit({cores: 10})},
  {
    refusal: 'too-many-runs',
    act: service => {
      const none = {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};
      for (let runs = 0; runs < 500; runs += 1) service.run({need: none});
      return service.submit({need: none});
    },
  },
  {refusal: 'label', act: service => service.submit({label: 'gpu'})},
  {refusal: 'own-run', act: service => service.run({}).group},
  {refusal: 'no-ticket', act: service => service.submit({}, advisedQueue)},
  {
    refusal: 'isolation',
    act: service => {
      service.suspect(service.run({}), 2);
      return service.submit({});
    },
  },
  {
    refusal: 'isolation',
    act: service => {
      service.suspect(service.run({}), 1);
      const group = service.submit({});
      service.suspect(group.getTask(0), 2);
      return group;
    },
  },
  {refusal: 'memory', act: service => service.submit({need: {...need, memoryMb: 10_001}})},
  {refusal: 'accelerators', act: service => service.submit({need: {...need, accelerators: 2}})},
  {
    refusal: 'processors',
    act: service => {
      service.run({cores: 8});
      return service.submit({cores: 3});
    },
  },
  {refusal: 'reserve', act: service => service.submit({cores: 10}, laterQueue)},
  {
    refusal: 'unused-processors',
    act: service => {
      service.run({cores: 10});
      return service.submit({cores: 2, fills: true, image: 'f'});
    },
  },
  {
    refusal: 'headroom',
    act: service => {
      const serving = service.run({cores: 4, lasting: true, image: 's', tailTargetMs: 100});
      for (const run of serving.runs) run.measurement = 99;
      return service.submit({cores: 2, fills: true, image: 'f'});
    },
  },
  {
    refusal: 'image-pair',
    act: service => {
      for (const worker of [service.worker, service.other]) {
        const step = {cores: 2, lasting: true, image: 's', tailTargetMs: 100};
        const [run] = service.run(step, worker).runs;
        if (run) Object.assign(run, {percent: 100, measurement: 21});
        for (let ago = 60_000; ago >= 0; ago -= 500) service.interference.observe(worker, at - ago);
      }
      service.run({cores: 0.1, fills: true, image: 'f'}, service.other);
      return service.submit({cores: 0.1, fills: true, image: 'f'});
    },
  },
  {
    refusal: 'reservation',
    act: service => {
      const kept = service.submit({cores: 6, lasting: true}).getTask(0);
      kept.hasStarted = true;
      service.reservations.keepRoom(kept, service.worker, at);
      return service.submit({cores: 5});
    },
  },
  {
    refusal: 'spread-limit',
    act: service => {
      const group = service.submit({count: 2, spreadLimit: 1});
      service.commands.start(group.getTask(1), service.worker, at);
      return group;
    },
  },
];

for (const [index, {refusal, act}] of refusals.entries()) {
  void t.test(`case ${index}: an open worker refuses a task as ${refusal}`, async t => {
    const service = new Service();
    const group = act(service);
    const task = group.getTask(0);
    const {priority = 0} = group.occurrence.submission.queue ?? {};
    const selector = service.createSelector();
    t.equal(selector.getClosure(service.worker), undefined);
    t.equal(selector.getRefusal(service.worker, task, group, priority), refusal);
    const selected = service.createSelector().selectWorker(task, group, priority);
    if (refusal === undefined) t.equal(selected, service.worker);
    else t.not(selected, service.worker);
  });
}
