import type {ConfigurationEffect, ConfigurationEvent} from '../configuration/view/events.js';
import type {ControlMessage, Hello} from '../messages/control.js';
import type {DataMessage} from '../messages/data.js';
import type {CellOwnershipEvent, OwnershipStoreCall, RegisteredEntry} from '../ownership/events.js';
import type {CallerAnswer, CallerRequest, CommonEffect} from '../requests/entry-events.js';
import type {CellSchedulerEffect, CellSchedulerEvent} from '../tasks/events.js';
import type {PlainRecord, TimelineRecord} from '../timeline/timeline-event.js';

/** Connection on which a message travels. */
export type Channel = 'control' | 'data';

/** A message from a connected process, with its complete body. */
export interface ProcessMessage {
  readonly kind: 'message';
  readonly peer: string;
  readonly channel: Channel;
  readonly message: DataMessage | ControlMessage;
  readonly body?: Uint8Array;
}

/**
 * Changes of the connections to a process. `control-up` and `control-down` concern its control connection,
 * `peer-up` and `peer-down` the pair of control and data connection.
 */
export type ConnectionEvent =
  | {readonly kind: 'control-up'; readonly peer: string; readonly hello: Hello}
  | {readonly kind: 'control-down'; readonly peer: string}
  | {readonly kind: 'peer-up'; readonly peer: string; readonly hello: Hello}
  | {readonly kind: 'peer-down'; readonly peer: string};

/** Sends a message to a connected process. */
export interface ProcessSend {
  readonly kind: 'send';
  readonly peer: string;
  readonly channel: Channel;
  readonly message: DataMessage | ControlMessage;
  readonly body?: Uint8Array;
}

/** Results of store calls for the configuration. */
export type ConfigurationStoreEvent = Extract<
  ConfigurationEvent,
  {readonly kind: 'head' | 'watch-quiet' | 'watch-failed' | 'store-result'}
>;

/** Calls to the store for the configuration. */
export type ConfigurationStoreCall = Extract<ConfigurationEffect, {readonly key: string}>;

/** Adds an event to the timeline. */
export interface RecordTimeline {
  readonly kind: 'record';
  readonly event: TimelineRecord | PlainRecord;
}

/** Events of `EntryProcess`. A `tick` is expected about every 10 ms. */
export type EntryProcessEvent =
  | CallerRequest
  | ProcessMessage
  | ConnectionEvent
  | {readonly kind: 'caller-gone'; readonly caller: number}
  | {readonly kind: 'tick'; readonly wallTimeMs: number}
  | {readonly kind: 'configuration-store'; readonly event: ConfigurationStoreEvent}
  | Extract<ConfigurationEvent, {readonly kind: 'confirm'}>
  | {
      readonly kind: 'ownership-store';
      readonly cell: string;
      readonly event: Extract<CellOwnershipEvent, {readonly kind: 'store-result'}>;
    }
  | {
      readonly kind: 'ledger-store';
      readonly cell: string;
      readonly event: Extract<
        CellSchedulerEvent,
        {readonly kind: 'ledger-read' | 'ledger-written'}
      >;
    }
  | {readonly kind: 'store-reachable'; readonly isReachable: boolean}
  | {readonly kind: 'entries'; readonly entries: readonly RegisteredEntry[]}
  /** An operator declares a host, an entry or a data centre permanently lost. */
  | {readonly kind: 'loss'; readonly name: string}
  | {readonly kind: 'drain'};

/** Effects of `EntryProcess`. */
export type EntryProcessEffect =
  | Extract<CommonEffect, {readonly kind: 'count' | 'observe'}>
  | RecordTimeline
  | ProcessSend
  | CallerAnswer
  | {readonly kind: 'configuration-store'; readonly call: ConfigurationStoreCall}
  | Extract<ConfigurationEffect, {readonly kind: 'confirmed'}>
  | {
      readonly kind: 'ownership-store';
      readonly cell: string;
      readonly request: number;
      readonly call: OwnershipStoreCall;
    }
  | {
      readonly kind: 'ledger-store';
      readonly cell: string;
      readonly call: Extract<CellSchedulerEffect, {readonly kind: 'read-ledger' | 'write-ledger'}>;
    }
  | Extract<CellSchedulerEffect, {readonly kind: 'finding'}>
  | {readonly kind: 'drained'};
