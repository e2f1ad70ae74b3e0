import type {CommonEffect, RequestEvent} from './requests/entry-events.js';

/** Collects the effects that a reducer returns for one event. */
export class Outbox<Effect> {
  private effects: Array<Effect | CommonEffect> = [];

  /** Adds an effect. */
  add(effect: Effect | CommonEffect): void {
    this.effects.push(effect);
  }

  /** Adds `by` to a counter. */
  count(name: string, by = 1): void {
    this.effects.push({kind: 'count', name, by});
  }

  /** Adds a duration in milliseconds to a histogram. */
  observe(name: string, valueMs: number): void {
    this.effects.push({kind: 'observe', name, valueMs});
  }

  /** Records a step of a request in the timeline. */
  record(event: Omit<RequestEvent, 'subject'>): void {
    this.effects.push({kind: 'record', event: {subject: 'request', ...event}});
  }

  /** Returns and clears the collected effects. */
  take(): ReadonlyArray<Effect | CommonEffect> {
    const effects = this.effects;
    this.effects = [];
    return effects;
  }
}
