import {getMonotonicTimeMs} from '@chervilbeam/standins';
import type {HistoryEvent} from '../histories/index.js';

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'at'> : never;

/** Records the events that the callers, the stand-ins and the operator of one deployment observe. */
export class DemoRecorder {
  /** Events in the order in which they were received. */
  readonly events: HistoryEvent[] = [];

  /** Records an event with the current time. */
  record(event: WithoutTime<HistoryEvent>): void {
    this.events.push({at: getMonotonicTimeMs(), ...event} as HistoryEvent);
  }

  /** Records an event that a stand-in wrote as a line of JSON; throws a SyntaxError for other lines. */
  recordLine(line: string): void {
    this.events.push(JSON.parse(line) as HistoryEvent);
  }

  /** Returns the number of tasks that run on a host. */
  countRunningTasks(host: string): number {
    let count = 0;
    for (const event of this.events) {
      if (event.kind === 'run-started' && event.host === host) count += 1;
      if (event.kind === 'run-ended' && event.host === host) count -= 1;
    }
    return count;
  }

  /** Records the end of all open runs and exchanges of a host whose worker and backend server were killed. */
  recordWorkerKilled(host: string, at: number): void {
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
