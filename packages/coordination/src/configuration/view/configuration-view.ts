import type {Reducer} from '../../reducer.js';
import type {Configuration, ConfigurationChange} from '../document.js';
import {ChangeLog} from './change-log.js';
import {Compaction} from './compaction.js';
import {Confirmations} from './confirmations.js';
import {ViewContext} from './context.js';
import type {ConfigurationEffect, ConfigurationEvent, ConfigurationViewOptions} from './events.js';
import {getInlineCount, inlineByteLimit, inlineChangeLimit, parseHead, type Head} from './head.js';
import {Jitter} from './jitter.js';
import {Relay} from './relay.js';
import {getJsonBytes} from './snapshot.js';
import {SnapshotReader} from './snapshot-reader.js';
import {StoreWatcher} from './store-watcher.js';

/**
 * The configuration known to one process. It watches or polls the store, relays changes to connected
 * processes, and appends confirmed plans to the change log. The version in force here never decreases.
 */
export class ConfigurationView implements Reducer<ConfigurationEvent, ConfigurationEffect> {
  readonly #context: ViewContext;
  readonly #log = new ChangeLog();
  readonly #relay: Relay;
  readonly #watcher: StoreWatcher;
  readonly #reader: SnapshotReader;
  readonly #compaction: Compaction;
  readonly #confirmations: Confirmations;
  #isKnownEmpty = false;

  constructor(options: ConfigurationViewOptions) {
    this.#context = new ViewContext(options, this.#log, new Jitter(options.seed));
    this.#relay = new Relay(this.#context);
    this.#reader = new SnapshotReader(this.#context, this.#relay, {
      publish: at => this.#publish(true, at),
      readHead: at => this.#readHead(at, () => {}),
    });
    this.#watcher = new StoreWatcher(this.#context, this.#relay, (at, done) =>
      this.#readHead(at, done),
    );
    const headAccess = {
      acceptHead: this.#acceptHead.bind(this),
      acceptOwnHead: this.#acceptOwnHead.bind(this),
    };
    this.#compaction = new Compaction(this.#context, headAccess);
    this.#confirmations = new Confirmations(this.#context, {
      ...headAccess,
      isFull: isHeadFull,
      compact: (at, done) => this.#compaction.run(at, done),
    });
  }

  /** The configuration in force here; version 0 while it is not known. */
  get configuration(): Configuration {
    return this.#log.configuration;
  }

  /** Whether a version is in force here or the store has reported that there is none yet. */
  get isKnown(): boolean {
    return this.#log.version > 0 || this.#isKnownEmpty;
  }

  /** Returns the changes after a version, or undefined when this process no longer keeps them. */
  getChangesAfter(version: number): readonly ConfigurationChange[] | undefined {
    return this.#log.getChangesAfter(version);
  }

  reduce(event: ConfigurationEvent, at: number): readonly ConfigurationEffect[] {
    this.#handle(event, at);
    return this.#context.takeEffects();
  }

  #handle(event: ConfigurationEvent, at: number): void {
    switch (event.kind) {
      case 'tick':
        return this.#tick(at);
      case 'head':
        this.#acceptHead(event.value, event.revision, at);
        return this.#watcher.finishWatch(at);
      case 'watch-quiet':
        return this.#watcher.finishWatch(at);
      case 'watch-failed':
        return this.#watcher.failWatch(at);
      case 'store-result':
        return this.#context.settle(event.request, event.answer, at);
      case 'config':
        if (this.#relay.receive(event.peer, event.message, at)) this.#publish(false, at);
        return this.#reader.tick(at);
      case 'config-request':
        return this.#relay.serve(event.peer, event.message.after);
      case 'heartbeat':
        return this.#relay.recordReportedVersion(event.peer, event.message.configVersion, at);
      case 'peer-up':
        return this.#relay.addPeer(event.peer, event.hello, at);
      case 'peer-down':
        return this.#relay.removePeer(event.peer, at);
      case 'compactor':
        this.#compaction.isActive = event.isActive;
        return;
      case 'confirm':
        return this.#confirmations.start(event.request, event.plan, at);
    }
  }

  #tick(at: number): void {
    this.#context.expireCalls(at);
    this.#relay.tick(at);
    if (this.#context.options.role === 'agent') return;
    this.#reader.tick(at);
    this.#confirmations.tick(at);
    this.#watcher.tick(at);
  }

  #readHead(at: number, done: (answered: boolean, at: number) => void): void {
    this.#context.readHead(at, (answer, answeredAt) => {
      if (answer.result === 'ok') this.#acceptHead(answer.value, answer.revision, answeredAt);
      done(answer.result === 'ok', answeredAt);
    });
  }

  /** Applies a head from the store. Returns it even when it is older than the version in force here. */
  #acceptHead(value: unknown, revision: number, at: number): Head | undefined {
    // An invalid or stale head also advances the revision; otherwise the next watch would return it at once.
    this.#watcher.revision = Math.max(this.#watcher.revision, revision);
    const head = parseHead(value);
    if (!head) {
      this.#context.count('head-invalid');
      return undefined;
    }
    if (head.version < this.#log.version) {
      this.#context.count('stale-head');
      return head;
    }
    const result = this.#log.advance(head.changes);
    if (result === 'advanced') this.#publish(true, at);
    if (head.version === 0 && !this.#isKnownEmpty) {
      this.#isKnownEmpty = true;
      this.#context.emit({kind: 'configuration', configuration: this.#log.configuration});
    }
    if (result === 'fork') this.#context.count('head-fork');
    if (this.#log.version < head.version && result !== 'fork') this.#reader.catchUp(head, at);
    this.#compaction.handleHead(head, at);
    return head;
  }

  #acceptOwnHead(head: Head, revision: number, at: number): void {
    this.#acceptHead(head, revision, at);
  }

  /** Announces a new version to the process and its peers. */
  #publish(isFromStore: boolean, at: number): void {
    const {configuration} = this.#log;
    this.#context.emit({kind: 'configuration', configuration});
    this.#context.record(configuration.version, 'in-force', isFromStore ? 'from store' : 'relayed');
    this.#relay.distribute(isFromStore);
    if (!isFromStore) this.#compaction.compactIfNeeded(configuration.version, at);
    this.#reader.tick(at);
  }
}

function isHeadFull(head: Head, change: ConfigurationChange): boolean {
  return (
    getInlineCount(head) >= inlineChangeLimit ||
    getJsonBytes(head) + getJsonBytes(change) > inlineByteLimit
  );
}
