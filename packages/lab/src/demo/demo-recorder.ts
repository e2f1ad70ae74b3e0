import {getSharedTime} from '@chervilbeam/standins';
import type {HistoryEvent} from '../histories/index.js';

type Unstamped<Event> = Event extends unknown ? Omit<Event, 'at'> : never;

/** Everything that the callers, the stand-ins and the operator of one deployment saw. */
export class DemoRecorder {
  /** Events in the order in which they were received. */
  readonly events: HistoryEvent[] = [];

  /** Records something that happens now. */
  record(event: Unstamped<HistoryEvent>): void {
    this.events.push({at: getSharedTime(), ...event} as HistoryEvent);
  }

  /** Takes a line that a stand-in wrote. */
  takeLine(line: string): void {
    this.events.push(JSON.parse(line) as HistoryEvent);
  }

  /** Returns the number of tasks that run on a host. */
  countRuns(host: string): number {
    let count = 0;
    for (const event of this.events) {
      if (event.kind === 'run-started' && event.host === host) count += 1;
      if (event.kind === 'run-ended' && event.host === host) count -= 1;
    }
    return count;
  }

  /** Ends everything that was open at a host whose worker and backend server were killed. */
  endHost(host: string, at: number): void {
    const runs = new Map<string, HistoryEvent>();
    const exchanges = new Set<string>();
    for (const event of this.events) {
      if (event.kind === 'run-started' && event.host === host) {
        const {task, attempt} = event;
        runs.set(`${task}#${attempt}`, {at, kind: 'run-ended', task, attempt, host, end: 'lost'});
      } else if (event.kind === 'run-ended' && event.host === host) {
        runs.delete(`${event.task}#${event.attempt}`);
      } else if (event.kind === 'exchange-started' && event.host === host) {
        exchanges.add(event.exchange);
      } else if (event.kind === 'exchange-ended') {
        exchanges.delete(event.exchange);
      }
    }
    this.events.push(...runs.values());
    for (const exchange of exchanges) {
      this.events.push({at, kind: 'exchange-ended', exchange, cut: 'killed'});
    }
  }
}
