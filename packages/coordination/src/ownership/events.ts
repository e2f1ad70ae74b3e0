import type {Fence, Fenced, Hello, Vouch, Vouched} from '../messages/index.js';
import type {CountEffect, ObserveEffect, OwnershipMode, RecordEffect} from '../tasks/events.js';

/** An entry process as registered in the store value `entries`. */
export interface RegisteredEntry {
  readonly name: string;
  readonly dataCentre: string;
  readonly incarnation: number;
  readonly address: string;
}

/** A call to the store. An `expectedRevision` of 0 requires the key to be absent. */
export type OwnershipStoreCall =
  | {readonly operation: 'read'; readonly key: string}
  | {
      readonly operation: 'write';
      readonly key: string;
      readonly value: unknown;
      readonly expectedRevision: number;
      readonly lease?: string;
    }
  | {readonly operation: 'open-lease'; readonly ttlMs: number}
  | {readonly operation: 'renew-lease'; readonly lease: string}
  | {readonly operation: 'close-lease'; readonly lease: string};

/**
 * Outcome of a store call. `mismatch`: a failed compare-and-swap or an expired lease. `unavailable`: the call
 * certainly had no effect. `unknown`: the call may have taken effect.
 */
export type StoreOutcome = 'ok' | 'mismatch' | 'unavailable' | 'unknown';

/** Input of `CellOwnership`. */
export type CellOwnershipEvent =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'store-result';
      readonly request: number;
      readonly result: StoreOutcome;
      readonly revision?: number;
      readonly value?: unknown;
      readonly lease?: string;
    }
  /** Whether the store answered the latest calls of this process. */
  | {readonly kind: 'store-reachable'; readonly isReachable: boolean}
  | {readonly kind: 'entries'; readonly entries: readonly RegisteredEntry[]}
  | {
      readonly kind: 'message';
      readonly peer: string;
      readonly message: Vouch | Vouched | Fence | Fenced;
    }
  | {readonly kind: 'peer-up'; readonly peer: string; readonly hello: Hello}
  | {readonly kind: 'peer-down'; readonly peer: string}
  /** An operator declares an entry or a data centre, given by name, permanently lost. */
  | {readonly kind: 'loss'; readonly name: string}
  | {readonly kind: 'drain'};

/** Output of `CellOwnership`. */
export type CellOwnershipEffect =
  | {readonly kind: 'store-call'; readonly request: number; readonly call: OwnershipStoreCall}
  | {
      readonly kind: 'send';
      readonly peer: string;
      readonly message: Vouch | Vouched | Fence | Fenced;
    }
  /** Ownership of the cell. It expires at monotonic time `until`, in milliseconds, unless a later effect extends it. */
  | {
      readonly kind: 'ownership';
      readonly mode: OwnershipMode;
      readonly term: number;
      readonly until: number;
    }
  /** The previous owner gets no more vouches. Tasks on unreachable hosts must not restart before this time. */
  | {readonly kind: 'fence-complete'; readonly unreportedBlockedUntil: number}
  | CountEffect
  | ObserveEffect
  | RecordEffect;
