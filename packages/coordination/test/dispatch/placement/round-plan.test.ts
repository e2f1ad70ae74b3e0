import t from 'tap';
import {type PlacementScope, RoundPlan} from '../../../src/dispatch/placement/round-plan.js';

interface PlayedLoad {
  /** Cost of a round in milliseconds. */
  readonly costs: Readonly<Record<PlacementScope, number>>;
  /** Interval in milliseconds of the events, each of which makes rounds of both scopes due. */
  readonly eventIntervalMs: number;
}

/** Plays events in virtual time; returns the longest wait for a round of a scope and the share of the time in rounds. */
function play({costs, eventIntervalMs}: PlayedLoad, durationMs = 10_000) {
  const plan = new RoundPlan();
  const dueSince: Partial<Record<PlacementScope, number>> = {};
  const longestWaitMs = {reserving: 0, all: 0};
  let busyMs = 0;
  let nextEventAt = 0;
  for (let now = 0; now < durationMs;) {
    for (; nextEventAt <= now; nextEventAt += eventIntervalMs) {
      dueSince.reserving ??= nextEventAt;
      dueSince.all ??= nextEventAt;
    }
    const round = plan.getNext(now, scope => dueSince[scope] !== undefined);
    if (round === undefined || round.delayMs > 0) {
      now = Math.min(nextEventAt, now + (round?.delayMs ?? Number.POSITIVE_INFINITY));
      continue;
    }
    for (const scope of round.scope === 'all' ? (['reserving', 'all'] as const) : [round.scope]) {
      longestWaitMs[scope] = Math.max(longestWaitMs[scope], now - (dueSince[scope] ?? now));
      delete dueSince[scope];
    }
    const endedAt = now + costs[round.scope];
    plan.recordRound(round.scope, now, endedAt);
    busyMs += costs[round.scope];
    now = endedAt;
  }
  return {longestWaitMs, share: busyMs / durationMs};
}

// Guards against urgent submissions that wait for the pause after an expensive round of filling tasks.
const cases: ReadonlyArray<{
  readonly name: string;
  readonly load: PlayedLoad;
  readonly maxReservingWaitMs: number;
}> = [
  {
    name: 'an owner that has just started beside a backlog of filling work',
    load: {costs: {reserving: 4, all: 80}, eventIntervalMs: 10},
    maxReservingWaitMs: 100,
  },
  {
    name: 'an owner without a backlog',
    load: {costs: {reserving: 0.5, all: 1}, eventIntervalMs: 10},
    maxReservingWaitMs: 5,
  },
  {
    name: 'rounds that are all expensive',
    load: {costs: {reserving: 40, all: 80}, eventIntervalMs: 5},
    maxReservingWaitMs: 250,
  },
];
for (const {name, load, maxReservingWaitMs} of cases) {
  void t.test(name, t => {
    const {longestWaitMs, share} = play(load);
    t.ok(longestWaitMs.reserving <= maxReservingWaitMs, `waited ${longestWaitMs.reserving} ms`);
    t.ok(longestWaitMs.all <= 600, `all tasks waited ${longestWaitMs.all} ms`);
    t.ok(share <= 0.52, `rounds take ${share} of the time`);
    t.end();
  });
}

void t.test('no round without a reason', t => {
  t.equal(
    new RoundPlan().getNext(0, () => false),
    undefined,
  );
  t.end();
});
