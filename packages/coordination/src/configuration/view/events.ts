import type {Config, ConfigRequest, Hello} from '../../messages/control.js';
import type {TimelineRecord} from '../../timeline/timeline-event.js';
import type {Configuration, ConfigurationChange, ConfigurationOperation} from '../document.js';

/** Answer of the store to one call, as the store client reports it. */
export type StoreAnswer =
  | {readonly result: 'ok'; readonly revision: number; readonly value?: unknown}
  /** The expected revision or lease is no longer current; the call had no effect. */
  | {readonly result: 'mismatch'; readonly revision?: number}
  /** The store refused the call because of a rate limit; the call had no effect. */
  | {readonly result: 'limited'}
  /** The call certainly had no effect. */
  | {readonly result: 'unavailable'}
  /** No answer: the call may have taken effect or may still take effect. */
  | {readonly result: 'unknown'};

/** A plan that an operator has confirmed. */
export interface ConfirmedPlan {
  /** Becomes the id of the change. */
  readonly planId: string;
  readonly baseVersion: number;
  readonly author: string;
  readonly operations: readonly ConfigurationOperation[];
}

/** Outcome of a confirmation. */
export type ConfirmationOutcome = 'accepted' | 'refused' | 'unknown' | 'unavailable';

/** Events of `ConfigurationView`. */
export type ConfigurationEvent =
  | {readonly kind: 'tick'}
  /** A watch found a newer revision of the key; `value` is undefined when the key is absent. */
  | {readonly kind: 'head'; readonly value: unknown; readonly revision: number}
  /** The watch ended without a newer revision. */
  | {readonly kind: 'watch-quiet'}
  /** The watch was not answered, or the store refused it. */
  | {readonly kind: 'watch-failed'}
  /** Answer to a `read-head`, `swap-head`, `read-snapshot` or `write-snapshot` effect. */
  | {readonly kind: 'store-result'; readonly request: number; readonly answer: StoreAnswer}
  | {readonly kind: 'config'; readonly peer: string; readonly message: Config}
  | {readonly kind: 'config-request'; readonly peer: string; readonly message: ConfigRequest}
  /** Version reported in the heartbeat of a peer. The caller need not pass heartbeats on. */
  | {
      readonly kind: 'heartbeat';
      readonly peer: string;
      readonly message: {readonly configVersion: number};
    }
  | {readonly kind: 'peer-up'; readonly peer: string; readonly hello: Hello}
  | {readonly kind: 'peer-down'; readonly peer: string}
  /** Whether this process owns the first cell and is therefore responsible for compacting the log. */
  | {readonly kind: 'compactor'; readonly isActive: boolean}
  | {readonly kind: 'confirm'; readonly request: number; readonly plan: ConfirmedPlan};

/** Effects of `ConfigurationView`. */
export type ConfigurationEffect =
  /** Waits up to `waitMs` for a revision of the key above `after`. At most one watch is outstanding. */
  | {
      readonly kind: 'watch';
      readonly key: string;
      readonly after: number;
      readonly waitMs: number;
    }
  | {readonly kind: 'read-head'; readonly request: number; readonly key: string}
  | {
      readonly kind: 'swap-head';
      readonly request: number;
      readonly key: string;
      readonly value: unknown;
      /** 0 when the key must be absent. */
      readonly expectedRevision: number;
    }
  | {readonly kind: 'read-snapshot'; readonly request: number; readonly key: string}
  | {
      readonly kind: 'write-snapshot';
      readonly request: number;
      readonly key: string;
      readonly value: unknown;
      /** 0 when the key must be absent. */
      readonly expectedRevision: number;
    }
  | {readonly kind: 'send'; readonly peer: string; readonly message: Config | ConfigRequest}
  /** The configuration in force here has changed. */
  | {readonly kind: 'configuration'; readonly configuration: Configuration}
  | {
      readonly kind: 'confirmed';
      readonly request: number;
      readonly outcome: ConfirmationOutcome;
      readonly changeId: string;
      /** Version of the accepted change. */
      readonly version?: number;
      /** Changes since the base version, when the base version is outdated and they are still known. */
      readonly difference?: readonly ConfigurationChange[];
    }
  | {readonly kind: 'count'; readonly name: string; readonly by: number}
  | {readonly kind: 'observe'; readonly name: string; readonly valueMs: number}
  | {readonly kind: 'record'; readonly event: TimelineRecord};

/** Options of `ConfigurationView`. */
export interface ConfigurationViewOptions {
  readonly role: 'entry' | 'agent';
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly incarnation: number;
  /** Seed of the jitter; 0 is replaced by 1. */
  readonly seed: number;
  /** Longest wait of one watch in milliseconds, 4000 by default; bounds how long a dead connection hides a change. */
  readonly watchWaitMs?: number;
  /** Number of inline changes at which the owner of the first cell compacts the log, 16 by default. */
  readonly compactAtChanges?: number;
  /** Size of the inline changes in bytes at which the log is compacted, 192 KiB by default. */
  readonly compactAtBytes?: number;
}
