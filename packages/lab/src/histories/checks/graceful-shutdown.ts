import {type History} from '../history.js';
import type {HistoryEvent} from '../history-event.js';
import type {Violation} from '../promise.js';

/** Allowance for clock drift and for the tick in which a deadline is noticed. */
const deadlineToleranceMs = 100;

/**
 * P8: a process that was told to stop leaves no request behind. An entry answers all requests that it accepted
 * before it exits, and none with `unknown` before its deadline while its path had no fault of its own; a host's agent lets its
 * exchanges end before it exits. A process that is killed during the shutdown is excused.
 */
export function checkGracefulShutdown(history: History): Violation[] {
  const stopping = new Set<string>();
  const requests = new Map<string, string>();
  const deadlines = new Map<string, number>();
  const exchanges = new Map<string, {host: string; request: string}>();
  const troubled = new Set<string>();
  const violations: Violation[] = [];
  const add = (event: HistoryEvent, process: string, detail: string) =>
    violations.push({promise: 'graceful-shutdown', at: event.at, subject: process, detail});
  for (const recorded of history.events) {
    const event = withoutLife(recorded);
    switch (event.kind) {
      case 'shutdown-began':
        stopping.add(event.process);
        break;
      case 'process-killed':
        stopping.delete(event.process);
        for (const [request, entry] of requests) {
          if (entry === event.process) requests.delete(request);
        }
        for (const {host, request} of exchanges.values()) {
          if (host === event.process) troubled.add(request);
        }
        break;
      case 'connection-lost':
        for (const request of getTouched(event.between, requests, exchanges)) troubled.add(request);
        break;
      case 'request-submitted':
        requests.set(event.request, event.entry);
        deadlines.set(event.request, event.at + (event.timeoutMs ?? Infinity));
        break;
      case 'request-abandoned':
        requests.delete(event.request);
        break;
      case 'request-answered': {
        const entry = requests.get(event.request);
        requests.delete(event.request);
        if (event.outcome !== 'unknown' || troubled.has(event.request)) break;
        if (event.at >= deadlines.get(event.request)! - deadlineToleranceMs) break;
        const hosts = [...exchanges.values()].filter(e => e.request === event.request);
        const stopped = [entry, ...hosts.map(e => e.host)].find(p => p && stopping.has(p));
        if (stopped) add(event, stopped, `${event.request} ended unknown during the shutdown`);
        break;
      }
      case 'exchange-started':
        exchanges.set(event.exchange, {host: event.host, request: event.request});
        break;
      case 'exchange-ended': {
        const exchange = exchanges.get(event.exchange);
        if (exchange && event.cut === 'aborted' && stopping.has(exchange.host)) {
          if (requests.has(exchange.request)) {
            add(event, exchange.host, `cut off the exchange of ${exchange.request}`);
          }
        } else if (exchange && event.cut) {
          troubled.add(exchange.request);
        }
        exchanges.delete(event.exchange);
        break;
      }
      case 'process-exited': {
        if (!stopping.delete(event.process)) break;
        const left = [...requests].filter(([, entry]) => entry === event.process);
        const open = [...exchanges.values()].filter(e => e.host === event.process);
        for (const [request] of left)
          add(event, event.process, `exited without answer to ${request}`);
        for (const {request} of open)
          add(event, event.process, `exited while ${request} was running`);
        break;
      }
      default:
    }
  }
  return violations;
}

/**
 * Returns the open requests whose path contains a connection: from their entry to a host or another entry. While
 * no exchange is open the host is not known, so every connection of the entry may be the path.
 */
function getTouched(
  between: readonly [string, string],
  requests: ReadonlyMap<string, string>,
  exchanges: ReadonlyMap<string, {readonly host: string; readonly request: string}>,
): string[] {
  const entries = new Set(requests.values());
  return [...requests].flatMap(([request, entry]) => {
    const hosts = [...exchanges.values()].filter(e => e.request === request).map(e => e.host);
    const isOnPath = (part: string) => part === entry || hosts.includes(part);
    if (hosts.length === 0 && between.includes(entry)) return [request];
    const touched =
      between.some(isOnPath) && between.every(part => isOnPath(part) || entries.has(part));
    return touched ? [request] : [];
  });
}

/** Removes the number of the life (`#2`) from the name of a process, as hosts and entries are named without. */
function withoutLife(event: HistoryEvent): HistoryEvent {
  return 'process' in event ? {...event, process: event.process.replace(/#\d+$/, '')} : event;
}
