import type {BackendAnnounced, Clock} from '@chervilbeam/coordination';
import {checkAgainstSchema, type Schema} from '../settings/schema-check.js';

/** Time for which an announcement is valid; backend servers repeat theirs every second. */
const announcementTtlMs = 3000;
/** Largest number of slots, and of connections, that a backend server may announce. */
const maxConnections = 1024;

const announcementSchema: Schema = {
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

/** Valid announcements of the backend servers on the host of an agent. */
export class Announcements {
  private readonly expiryMsByUrl = new Map<string, number>();

  /** Creates an empty set. */
  constructor(private readonly clock: Clock) {}

  /** Validates and stores an announcement; returns its event, or the findings when it is invalid. */
  register(body: unknown): BackendAnnounced | {readonly findings: readonly string[]} {
    const findings = checkAgainstSchema(announcementSchema, body, 'announcement');
    if (findings.length > 0) {
      return {
        findings: findings.map(
          finding => `${finding.place}: ${finding.value}; allowed: ${finding.allowed}`,
        ),
      };
    }
    const announced = body as Omit<BackendAnnounced, 'kind'>;
    this.expiryMsByUrl.set(announced.url, this.clock.now() + announcementTtlMs);
    return {...announced, kind: 'backend-announced'};
  }

  /** Removes and returns the URLs of the backend servers whose announcement has expired. */
  removeExpired(): readonly string[] {
    const now = this.clock.now();
    const lapsed = [...this.expiryMsByUrl]
      .filter(([, expiryMs]) => expiryMs <= now)
      .map(([url]) => url);
    for (const url of lapsed) this.expiryMsByUrl.delete(url);
    return lapsed;
  }
}
