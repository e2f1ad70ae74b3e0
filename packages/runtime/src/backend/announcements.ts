import type {BackendAnnounced, Clock} from '@chervilbeam/coordination';
import {checkAgainstSchema, type Schema} from '../settings/schema-check.js';

/** Time for which an announcement holds; backend servers announce themselves each second. */
const announcementMs = 3000;
const maxConnections = 1024;

const schema: Schema = {
  type: 'object',
  required: ['url', 'services', 'slots', 'connections', 'draining'],
  properties: {
    url: {type: 'string', pattern: '^http://[0-9.]+:[0-9]{1,5}$'},
    services: {type: 'array', items: {type: 'string', pattern: '^[a-z0-9][a-z0-9-]{0,62}$'}},
    slots: {type: 'integer', minimum: 1, maximum: maxConnections},
    connections: {type: 'integer', minimum: 1, maximum: maxConnections},
    draining: {type: 'boolean'},
  },
};

/** Announcements of the backend servers beside an agent, and their lapse. */
export class Announcements {
  private readonly validUntil = new Map<string, number>();

  /** Creates an empty set. */
  constructor(private readonly clock: Clock) {}

  /** Takes the body of an announcement; returns the event, or the findings when it is refused. */
  take(body: unknown): BackendAnnounced | {readonly findings: readonly string[]} {
    const findings = checkAgainstSchema(schema, body, 'announcement');
    if (findings.length > 0) {
      return {findings: findings.map(f => `${f.place}: ${f.value}; allowed: ${f.allowed}`)};
    }
    const announced = body as Omit<BackendAnnounced, 'kind'>;
    this.validUntil.set(announced.url, this.clock.now() + announcementMs);
    return {...announced, kind: 'backend-announced'};
  }

  /** Forgets and returns the backend servers whose announcement has lapsed. */
  takeLapsed(): readonly string[] {
    const now = this.clock.now();
    const lapsed = [...this.validUntil].filter(([, until]) => until <= now).map(([url]) => url);
    for (const url of lapsed) this.validUntil.delete(url);
    return lapsed;
  }
}
