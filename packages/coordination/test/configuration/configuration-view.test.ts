import t, {type Test} from 'tap';
import {
  ConfigurationView,
  type ConfigurationChange,
  type ConfigurationEffect,
  type ConfigurationEvent,
} from '../../src/configuration/index.js';
import {buildTransfer} from '../../src/configuration/view/transfer.js';
import {ChangeLog} from '../../src/configuration/view/change-log.js';
import type {Hello} from '../../src/messages/index.js';

function getChanges(first: number, last: number, id = 'c', size = 1): ConfigurationChange[] {
  return Array.from({length: last - first + 1}, (_, index) => ({
    version: first + index,
    changeId: `${id}${first + index}`,
    author: 'a',
    operations: [{kind: 'drain-host', host: `${id}${first + index}`.padEnd(size, 'x')}],
  }));
}

function getHello(name: string, configVersion: number, overrides: Partial<Hello> = {}): Hello {
  const place = {dataCentre: 'd1', region: 'r1', name, incarnation: 5};
  const role = 'entry' as const;
  const shared = {kind: 'hello', protocol: 1, deployment: 'x', purpose: 'control'} as const;
  return {...shared, role, ...place, peers: [], configVersion, ...overrides};
}

/** Applies events to one view and keeps the effects of the latest ones. */
class Driver {
  readonly view: ConfigurationView;
  effects: readonly ConfigurationEffect[] = [];

  constructor(role: 'entry' | 'agent' = 'entry') {
    const place = {dataCentre: 'd1', region: 'r1', name: 'self', incarnation: 9};
    this.view = new ConfigurationView({role, ...place, seed: 4});
  }

  apply(at: number, ...events: ConfigurationEvent[]): this {
    this.effects = events.flatMap(event => this.view.reduce(event, at));
    return this;
  }

  config(at: number, from: number, changes: ConfigurationChange[], snapshot?: unknown): this {
    const message = {kind: 'config' as const, from, changes, snapshot};
    return this.apply(at, {kind: 'config', peer: 'p', message});
  }

  /** Ticks, and answers every read of the head with an absent key. */
  tick(at: number): this {
    this.apply(at, {kind: 'tick'});
    const answer = {result: 'ok', revision: 0} as const;
    for (const effect of this.effects) {
      if (effect.kind !== 'read-head') continue;
      this.view.reduce({kind: 'store-result', request: effect.request, answer}, at);
    }
    return this;
  }

  get version(): number {
    return this.view.configuration.version;
  }

  getKinds(): string[] {
    return this.effects.map(effect => effect.kind);
  }
}

function getSnapshotMessages(last: number): ReturnType<typeof buildTransfer> {
  const log = new ChangeLog();
  for (const change of getChanges(1, last, 'c', 400)) log.advance([change]);
  return buildTransfer(log, 0);
}

const cases: Array<{name: string; check: (t: Test) => void}> = [
  {
    name: 'an older snapshot from a peer does not lower the version in force',
    check: t => {
      const driver = new Driver('agent').apply(0, {
        kind: 'peer-up',
        peer: 'p',
        hello: getHello('p', 200),
      });
      for (const message of getSnapshotMessages(200))
        driver.config(1, message.from, [], message.snapshot);
      t.equal(driver.version, 200);
      for (const message of getSnapshotMessages(150))
        driver.config(2, message.from, [], message.snapshot);
      t.equal(driver.version, 200);
      t.notOk(driver.getKinds().includes('configuration'));
    },
  },
  {
    name: 'a conflicting change at a version in force is counted and not applied',
    check: t => {
      const driver = new Driver('agent').apply(0, {
        kind: 'peer-up',
        peer: 'p',
        hello: getHello('p', 0),
      });
      driver.config(1, 0, getChanges(1, 3)).config(2, 1, getChanges(2, 4, 'other'));
      t.equal(driver.version, 3);
      t.match(driver.effects[0], {kind: 'count', name: 'configuration.relay-fork'});
    },
  },
  {
    name: 'changes after a gap are not applied, and the missing ones are requested',
    check: t => {
      const driver = new Driver('agent').apply(0, {
        kind: 'peer-up',
        peer: 'p',
        hello: getHello('p', 0),
      });
      driver.config(1, 4, getChanges(5, 6));
      t.equal(driver.version, 0);
      t.match(driver.effects.at(-1), {
        kind: 'send',
        peer: 'p',
        message: {kind: 'config-request', after: 0},
      });
      t.equal(driver.config(2, 0, getChanges(1, 6)).version, 6);
    },
  },
  {
    name: 'a pull that times out moves to another peer',
    check: t => {
      const driver = new Driver('agent');
      const [p, q] = ['p', 'q'].map(name => ({
        kind: 'peer-up' as const,
        peer: name,
        hello: getHello(name, 4),
      })) as [ConfigurationEvent, ConfigurationEvent];
      driver.apply(0, p, q);
      const firstPeer = driver.effects.find(effect => effect.kind === 'send')?.peer;
      driver.apply(1100, {kind: 'tick'});
      const nextPeer = driver.effects.find(effect => effect.kind === 'send')?.peer;
      t.same([firstPeer, nextPeer].sort(), ['p', 'q']);
    },
  },
  {
    name: 'only the entry with the lowest incarnation of a data centre watches the store',
    check: t => {
      const driver = new Driver().apply(0, {kind: 'peer-up', peer: 'p', hello: getHello('p', 0)});
      for (let at = 0; at < 10_000; at += 100) {
        t.notOk(driver.tick(at).getKinds().includes('watch'));
      }
      driver.apply(10_000, {kind: 'peer-down', peer: 'p'}).tick(10_000);
      t.notOk(
        driver.tick(11_900).getKinds().includes('watch'),
        'a short reconnect does not move the watch',
      );
      t.ok(driver.tick(12_000).getKinds().includes('watch'));
    },
  },
  {
    name: 'a malformed head is counted and never applied',
    check: t => {
      const heads: unknown[] = ['x', {version: -1}, {version: 2, snapshot: null, changes: []}];
      heads.push({version: 2, snapshot: null, previousSnapshot: null, changes: getChanges(2, 2)});
      for (const value of heads) {
        const driver = new Driver().apply(0, {kind: 'head', value, revision: 7});
        t.equal(driver.version, 0);
        t.match(driver.effects[0], {kind: 'count', name: 'configuration.head-invalid'});
      }
    },
  },
  {
    name: 'an agent answers a confirmation with unavailable, because it cannot reach the store',
    check: t => {
      const plan = {planId: 'x', baseVersion: 0, author: 'a', operations: []};
      const driver = new Driver('agent').apply(0, {kind: 'confirm', request: 1, plan});
      t.match(driver.effects[0], {kind: 'confirmed', request: 1, outcome: 'unavailable'});
    },
  },
  {
    name: 'a change larger than a frame is split into messages below the frame limit',
    check: t => {
      const log = new ChangeLog();
      log.advance(getChanges(1, 1, 'c', 200_000));
      const messages = buildTransfer(log, 0);
      t.ok(messages.length > 1);
      for (const message of messages) t.ok(JSON.stringify(message).length < 64 * 1024);
      const driver = new Driver('agent').apply(0, {
        kind: 'peer-up',
        peer: 'p',
        hello: getHello('p', 1),
      });
      for (const message of messages) driver.config(1, message.from, [], message.snapshot);
      t.equal(driver.version, 1);
    },
  },
];

for (const testCase of cases) void t.test(testCase.name, async t => testCase.check(t));
