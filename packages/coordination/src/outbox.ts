import type {CommonEffect, RequestEvent} from './requests/entry-events.js';

/** Collects the effects of one event. */
export class Outbox<Effect> {
  private effects: Array<Effect | CommonEffect> = [];

  /** Adds an effect. */
  add(effect: Effect | CommonEffect): void {
    this.effects.push(effect);
  }

  /** Adds to a counter. */
  count(name: string, by = 1): void {
    this.effects.push({kind: 'count', name, by});
  }

  /** Adds a duration to a histogram. */
  observe(name: string, valueMs: number): void {
    this.effects.push({kind: 'observe', name, valueMs});
  }

  /** Adds a step of a request to the timeline. */
  record(event: Omit<RequestEvent, 'subject'>): void {
    this.effects.push({kind: 'record', event: {subject: 'request', ...event}});
  }

  /** Returns the collected effects and starts anew. */
  take(): ReadonlyArray<Effect | CommonEffect> {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }
}
