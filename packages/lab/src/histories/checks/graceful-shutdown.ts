import {type History} from '../history.js';
import type {HistoryEvent} from '../history-event.js';
import type {Violation} from '../promise.js';

/** Tolerance for clock drift and for the interval of the timer that detects missed deadlines. */
const deadlineToleranceMs = 100;

/**
 * P8: a process that is shut down finishes its requests first, unless it is killed meanwhile. An entry answers all
 * accepted requests before it exits, and answers none with `unknown` before the request's deadline unless another fault
 * interrupted the path of the request. An agent waits for its exchanges to end before it exits.
 */
export function checkGracefulShutdown(history: History): Violation[] {
  const stopping = new Set<string>();
  const entryByRequest = new Map<string, string>();
  const deadlineByRequest = new Map<string, number>();
  const exchanges = new Map<string, {host: string; request: string}>();
  // These may be answered `unknown`, because a fault other than the shutdown interrupted them.
  const requestsHitByFaults = new Set<string>();
  const violations: Violation[] = [];
  const add = (event: HistoryEvent, process: string, detail: string) =>
    violations.push({promise: 'graceful-shutdown', at: event.at, subject: process, detail});
  for (const recorded of history.events) {
    const event = removeIncarnationSuffix(recorded);
    switch (event.kind) {
      case 'shutdown-began':
        stopping.add(event.process);
        break;
      case 'process-killed':
        stopping.delete(event.process);
        for (const [request, entry] of entryByRequest) {
          if (entry === event.process) entryByRequest.delete(request);
        }
        for (const {host, request} of exchanges.values()) {
          if (host === event.process) requestsHitByFaults.add(request);
        }
        break;
      case 'connection-lost':
        for (const request of getRequestsOnConnection(event.between, entryByRequest, exchanges))
          requestsHitByFaults.add(request);
        break;
      case 'request-submitted':
        entryByRequest.set(event.request, event.entry);
        deadlineByRequest.set(event.request, event.at + (event.timeoutMs ?? Infinity));
        break;
      case 'request-abandoned':
        entryByRequest.delete(event.request);
        break;
      case 'request-answered': {
        const entry = entryByRequest.get(event.request);
        entryByRequest.delete(event.request);
        if (event.outcome !== 'unknown' || requestsHitByFaults.has(event.request)) break;
        if (event.at >= deadlineByRequest.get(event.request)! - deadlineToleranceMs) break;
        const hosts = [...exchanges.values()].filter(e => e.request === event.request);
        const stopped = [entry, ...hosts.map(e => e.host)].find(p => p && stopping.has(p));
        if (stopped)
          add(event, stopped, `${event.request} was answered unknown during the shutdown`);
        break;
      }
      case 'exchange-started':
        exchanges.set(event.exchange, {host: event.host, request: event.request});
        break;
      case 'exchange-ended': {
        const exchange = exchanges.get(event.exchange);
        if (exchange && event.cut === 'aborted' && stopping.has(exchange.host)) {
          if (entryByRequest.has(exchange.request)) {
            add(event, exchange.host, `cut off the exchange of ${exchange.request}`);
          }
        } else if (exchange && event.cut) {
          requestsHitByFaults.add(exchange.request);
        }
        exchanges.delete(event.exchange);
        break;
      }
      case 'process-exited': {
        if (!stopping.delete(event.process)) break;
        const unansweredRequests = [...entryByRequest].filter(
          ([, entry]) => entry === event.process,
        );
        const openExchanges = [...exchanges.values()].filter(e => e.host === event.process);
        for (const [request] of unansweredRequests)
          add(event, event.process, `exited without answering ${request}`);
        for (const {request} of openExchanges)
          add(event, event.process, `exited while ${request} was running`);
        break;
      }
      default:
    }
  }
  return violations;
}

/**
 * Returns the open requests that use a connection from their entry to a host or to another entry. Without an open
 * exchange the host of a request is not known, so any connection of its entry counts.
 */
function getRequestsOnConnection(
  between: readonly [string, string],
  entryByRequest: ReadonlyMap<string, string>,
  exchanges: ReadonlyMap<string, {readonly host: string; readonly request: string}>,
): string[] {
  const entries = new Set(entryByRequest.values());
  return [...entryByRequest].flatMap(([request, entry]) => {
    const hosts = [...exchanges.values()].filter(e => e.request === request).map(e => e.host);
    const isOnPath = (endpoint: string) => endpoint === entry || hosts.includes(endpoint);
    if (hosts.length === 0 && between.includes(entry)) return [request];
    const isAffected =
      between.some(isOnPath) &&
      between.every(endpoint => isOnPath(endpoint) || entries.has(endpoint));
    return isAffected ? [request] : [];
  });
}

/** Removes the incarnation suffix (`#2`) from the process name, because the names of hosts and entries have none. */
function removeIncarnationSuffix(event: HistoryEvent): HistoryEvent {
  return 'process' in event ? {...event, process: event.process.replace(/#\d+$/, '')} : event;
}
