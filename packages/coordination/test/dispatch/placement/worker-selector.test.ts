import t from 'tap';
import {ActiveSubmission} from '../../../src/dispatch/active-submission.js';
import {DispatchState} from '../../../src/dispatch/dispatch-state.js';
import {defaultDispatchTiming} from '../../../src/dispatch/dispatch-timing.js';
import {InterferenceModel} from '../../../src/dispatch/interference/interference-model.js';
import {WorkerHeadroomCache} from '../../../src/dispatch/interference/worker-headroom.js';
import {AdviceTickets} from '../../../src/dispatch/placement/advice-tickets.js';
import {RoomReservations} from '../../../src/dispatch/placement/room-reservations.js';
import {sortCandidates} from '../../../src/dispatch/placement/submission-order.js';
import {WorkerSelector} from '../../../src/dispatch/placement/worker-selector.js';
import {RunCommands} from '../../../src/dispatch/run-commands.js';
import {WorkerView} from '../../../src/dispatch/worker-view.js';
import {SeededRandom} from '../../../src/routing/seeded-random.js';
import type {Step} from '../../../src/submissions/index.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';
import {createQueue} from '../fleet/virtual-fleet.js';

const queues = [0, 1, 2].map(priority => createQueue({name: `q${priority}`, priority}));
const cores = 16;

/** The dispatcher's view of a service, whose placement rounds a test plays step by step. */
class Fixture {
  readonly state = new DispatchState(defaultDispatchTiming);
  readonly tickets = new AdviceTickets(this.state);
  readonly commands = new RunCommands(this.state, this.tickets);
  private readonly interference = new InterferenceModel();
  private readonly headrooms = new WorkerHeadroomCache(this.interference);
  private readonly reservations = new RoomReservations(this.state, this.commands);

  constructor(workers: number) {
    for (let index = 0; index < workers; index += 1) {
      const agent = `a${index}`;
      const worker = new WorkerView(
        agent,
        {
          life: `w${index}`,
          id: `w${index}`,
          service: 'service',
          dataCentre: 'dc',
          rack: `r${index % 4}`,
          labels: index % 2 === 0 ? ['even'] : [],
          capacity: {processors: cores, memoryMb: 64_000, accelerators: 0, slots: 0},
          state: 'ready',
        },
        1,
      );
      worker.isReconciled = true;
      worker.isInRoster = true;
      worker.recordClock(1, 1);
      this.state.workers.set(agent, worker);
    }
  }

  submit(id: string, queue: number, steps: readonly Step[]): void {
    const settings = queues[queue];
    if (settings === undefined) throw new RangeError(`no queue ${queue}`);
    const submission = createSubmission(id, settings.key, steps);
    const active = new ActiveSubmission({submission, queue: settings, arrivedAt: 1});
    active.openDueOccurrences(1, 1);
    this.state.submissions.set(id, active);
  }

  createSelector(): WorkerSelector {
    const {state, interference, headrooms, reservations, tickets} = this;
    return new WorkerSelector({state, interference, headrooms, reservations, tickets, at: 2});
  }

  /** Plays one round with `selector`; `check` gets each decision before it is executed. */
  playRound(
    selector: WorkerSelector,
    check: (
      selected: WorkerView | undefined,
      select: (other: WorkerSelector) => WorkerView | undefined,
    ) => void,
  ): number {
    let placed = 0;
    for (const {steps, priority} of sortCandidates(this.state, 2)) {
      for (const group of steps) {
        for (const task of group.getWaiting(2)) {
          const worker = selector.selectWorker(task, group, priority);
          check(worker, other => other.selectWorker(task, group, priority));
          if (worker === undefined) break;
          this.commands.start(task, worker, 2);
          selector.recordPlacement(worker);
          placed += 1;
        }
      }
    }
    return placed;
  }
}

function drawStep(random: SeededRandom): Step {
  const kind = random.next();
  const image = `image-${Math.floor(random.next() * 3)}`;
  return createStep({
    count: 1 + Math.floor(random.next() * 12),
    cores: (1 + Math.floor(random.next() * 40)) / 8,
    estimatedMs: 500 * (1 + Math.floor(random.next() * 3)),
    ...(kind < 0.2 && {lasting: true, image, tailTargetMs: 40}),
    ...(kind > 0.7 && {fills: true, image}),
    ...(random.next() < 0.2 && {label: 'even'}),
    ...(random.next() < 0.2 && {spreadLimit: 1 + Math.floor(random.next() * 2)}),
    ...(random.next() < 0.1 && {sameRack: true}),
  });
}

for (const seed of [1, 2, 3, 4, 5]) {
  void t.test(`seed ${seed}: a round selects the workers that examining all of them would`, t => {
    const random = new SeededRandom(seed);
    const fixture = new Fixture(3 + Math.floor(random.next() * 10));
    for (let index = 0; index < 40; index += 1) {
      fixture.submit(`s${index}`, index % queues.length, [drawStep(random)]);
    }
    fixture.playRound(fixture.createSelector(), (selected, select) => {
      // A new selector has seen no other task, so it examines every worker.
      t.equal(selected?.life, select(fixture.createSelector())?.life);
    });
    t.end();
  });
}

const sizes = [
  {workers: 11, submissions: 100},
  {workers: 160, submissions: 400},
  {workers: 1_600, submissions: 1_000},
];
for (const {workers, submissions} of sizes) {
  void t.test(`on ${workers} full workers, waiting work is not tried on each of them`, t => {
    const fixture = new Fixture(workers);
    fixture.submit('filling-up', 1, [createStep({count: workers, cores: cores * 0.9})]);
    const placed = fixture.playRound(fixture.createSelector(), () => {});
    t.equal(placed, workers);
    for (let index = 0; index < submissions; index += 1) {
      fixture.submit(`s${index}`, 1, [createStep({count: 20, cores: 2})]);
    }
    const selector = fixture.createSelector();
    t.equal(
      fixture.playRound(selector, () => {}),
      0,
    );
    t.equal(selector.examinedCount, workers);
    t.end();
  });

  void t.test(`on ${workers} free workers, a step examines each of them about once`, t => {
    const fixture = new Fixture(workers);
    const count = workers * 4;
    fixture.submit('wide', 1, [createStep({count, cores: 2})]);
    const selector = fixture.createSelector();
    t.equal(
      fixture.playRound(selector, () => {}),
      count,
    );
    t.ok(selector.examinedCount <= workers + 4 * count, `${selector.examinedCount} examined`);
    t.end();
  });
}
