import type {Role} from '@chervilbeam/coordination';
import type {LogLevelString} from 'bunyan';

/** Settings of one process; `settings.schema.json` describes each of them. */
export interface Settings {
  readonly role: Role;
  readonly deployment: string;
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly rack?: string;
  readonly listen: {
    readonly callers?: string;
    readonly peers?: string;
    readonly control: string;
  };
  readonly seeds: readonly string[];
  readonly store?: string;
  readonly worker?: string;
  readonly cells?: readonly string[];
  readonly cell?: string;
  readonly settleMs?: number;
  readonly logLevel?: LogLevelString;
}

/** Settings of an entry; the addresses that this role requires are present. */
export interface EntrySettings extends Settings {
  readonly role: 'entry';
  readonly listen: {readonly callers: string; readonly peers: string; readonly control: string};
}
