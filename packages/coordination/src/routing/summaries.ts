import type {ServiceSummary, Summary} from '../messages/control.js';

/** Remembers what the other entries were told, so that only changes are sent. */
export class Summaries {
  private readonly published = new Map<string, ServiceSummary>();

  constructor(private readonly dataCentre: string) {}

  /** Notes the present services; returns what has changed since the last call, if anything has. */
  update(services: ReadonlyMap<string, ServiceSummary>): Summary | undefined {
    const changes: ServiceSummary[] = [];
    for (const [service, now] of services) {
      const before = this.published.get(service);
      if (before?.hosts !== now.hosts || before.slots !== now.slots) changes.push(now);
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

  /** What a new peer has to know, as of the last update. */
  getFullSummary(): Summary {
    return {kind: 'summary', dataCentre: this.dataCentre, services: [...this.published.values()]};
  }
}

/** Returns what is known after a summary has arrived. */
export function mergeSummary(known: Summary | undefined, message: Summary): Summary {
  if (!message.partial || !known) return message;
  const services = new Map(known.services.map(service => [service.service, service]));
  for (const change of message.services) {
    if (change.hosts > 0) services.set(change.service, change);
    else services.delete(change.service);
  }
  return {...known, services: [...services.values()]};
}
