import type {ServiceSummary, Summary} from '../messages/control.js';

/** Tracks the summary that was published to the other entries, so that only changes are sent. */
export class SummaryTracker {
  private readonly published = new Map<string, ServiceSummary>();

  constructor(private readonly dataCentre: string) {}

  /** Stores the current services; returns the changes since the last call, or undefined if there are none. */
  update(services: ReadonlyMap<string, ServiceSummary>): Summary | undefined {
    const changes: ServiceSummary[] = [];
    for (const [service, current] of services) {
      const previous = this.published.get(service);
      if (previous?.hosts !== current.hosts || previous.slots !== current.slots)
        changes.push(current);
    }
    for (const service of this.published.keys()) {
      if (!services.has(service)) changes.push({service, hosts: 0, slots: 0});
    }
    if (changes.length === 0) return undefined;
    for (const change of changes) {
      if (change.hosts > 0) this.published.set(change.service, change);
      else this.published.delete(change.service);
    }
    return {kind: 'summary', dataCentre: this.dataCentre, partial: true, services: changes};
  }

  /** Full summary as of the last update, for a newly connected entry. */
  getFullSummary(): Summary {
    return {kind: 'summary', dataCentre: this.dataCentre, services: [...this.published.values()]};
  }
}

/** Applies a received summary to the previous one; a partial summary replaces only the services that it lists. */
export function mergeSummary(previous: Summary | undefined, message: Summary): Summary {
  if (!message.partial || !previous) return message;
  const services = new Map(previous.services.map(service => [service.service, service]));
  for (const change of message.services) {
    if (change.hosts > 0) services.set(change.service, change);
    else services.delete(change.service);
  }
  return {...previous, services: [...services.values()]};
}
