import {
  checkPlan,
  createPlan,
  isRecord,
  ObjectReader,
  parseIntent,
  type Finding,
  type Plan,
  type PlanResult,
} from '@chervilbeam/coordination';
import type {ConfirmationAnswer, OperatorBackend} from './operator-backend.js';

/** Answer to an operator request: HTTP status and JSON body. */
export interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

const hostRule = {pattern: /^[a-z0-9][a-z0-9.-]{0,62}$/, allowed: 'the name of a host'};
const operatorRule = {pattern: /^\S(.{0,98}\S)?$/u, allowed: 'a name of 1 to 100 characters'};

/** HTTP status of each outcome of a confirmation. */
const confirmationStatus: Record<ConfirmationAnswer['outcome'], number> = {
  accepted: 200,
  refused: 409,
  unavailable: 503,
  unknown: 504,
};

/** Operator API of an entry. Plans are not stored: a confirmation contains the plan and may go to any entry. */
export class OperatorService {
  #planCount = 0;

  constructor(private readonly backend: OperatorBackend) {}

  /** Creates a plan from an intent. */
  plan(body: unknown): OperatorAnswer {
    const result = this.#plan(body, 'request');
    if (!result) return unknownConfiguration;
    return result.ok ? {status: 200, body: result.plan} : reject(result.findings);
  }

  /** Applies a plan by appending it to the configuration log. */
  async confirm(body: unknown): Promise<OperatorAnswer> {
    const check = checkPlan(isRecord(body) ? body.plan : undefined, 'request');
    return check.ok ? this.#confirm(check.plan) : reject(check.findings);
  }

  /** Drains a host or returns it to service; plans and confirms in one request. */
  async drain(body: unknown): Promise<OperatorAnswer> {
    const findings: Finding[] = [];
    const reader = new ObjectReader(isRecord(body) ? body : {}, 'request', '', findings);
    const host = reader.getText('host', hostRule);
    const operator = reader.getText('operator', operatorRule);
    const draining = reader.has('draining') ? reader.getBoolean('draining') : true;
    reader.rejectUnknownFields();
    if (findings.length > 0) return reject(findings);
    const result = this.#plan({operator, drains: [{host, draining}]}, 'request');
    if (!result) return unknownConfiguration;
    if (!result.ok) return reject(result.findings);
    const {version} = this.backend.getConfiguration();
    if (result.plan.operations.length === 0) {
      return {status: 200, body: {outcome: 'accepted', version, unchanged: true}};
    }
    return this.#confirm(result.plan);
  }

  /** Declares a host lost, so that its tasks restart elsewhere without waiting for the host to return. */
  declareLoss(body: unknown): OperatorAnswer {
    const findings: Finding[] = [];
    const reader = new ObjectReader(isRecord(body) ? body : {}, 'request', '', findings);
    const host = reader.getText('host', hostRule);
    reader.getText('operator', operatorRule);
    reader.rejectUnknownFields();
    if (host === undefined || findings.length > 0) return reject(findings);
    const isDeclared = this.backend.declareLoss(host);
    return isDeclared
      ? {status: 200, body: {host, declared: true}}
      : {
          status: 404,
          body: {host, declared: false, detail: 'this entry does not schedule the host'},
        };
  }

  /** Returns the status of the system as this entry knows it. */
  getStatus(): OperatorAnswer {
    return {status: 200, body: this.backend.getStatus()};
  }

  /** Returns the configuration in force at this entry. */
  getConfiguration(): OperatorAnswer {
    const {version, workloads, teams, drains} = this.backend.getConfiguration();
    const body = {
      version,
      workloads: [...workloads.values()],
      teams: [...teams.values()],
      drains: [...drains].sort(),
    };
    return {status: 200, body};
  }

  /** Returns the timeline events of this process that match the query. */
  getTimeline(query: URLSearchParams): OperatorAnswer {
    const version = query.get('version');
    const filter = {
      request: query.get('request') ?? undefined,
      task: query.get('task') ?? undefined,
      version: version === null ? undefined : Number(version),
    };
    return {status: 200, body: {events: this.backend.getTimeline(filter)}};
  }

  /** Returns undefined while this entry does not know the configuration. */
  #plan(intent: unknown, source: string): PlanResult | undefined {
    if (!this.backend.isConfigurationKnown()) return undefined;
    const parsed = parseIntent(intent, source);
    if (!parsed.ok) return {ok: false, findings: parsed.findings};
    const planId = `${this.backend.incarnation.toString(36)}-${(++this.#planCount).toString(36)}`;
    const configuration = this.backend.getConfiguration();
    return createPlan(configuration, parsed.intent, planId, source, next =>
      this.backend.predict(next),
    );
  }

  async #confirm(plan: Plan): Promise<OperatorAnswer> {
    const {planId, baseVersion, author, operations} = plan;
    if (operations.length === 0) {
      const finding = {source: 'request', place: 'operations', value: '[]'};
      return reject([{...finding, allowed: 'a plan that changes something'}]);
    }
    const answer = await this.backend.confirm({planId, baseVersion, author, operations});
    const {outcome, changeId, version, difference} = answer;
    return {status: confirmationStatus[outcome], body: {outcome, changeId, version, difference}};
  }
}

const unknownConfiguration: OperatorAnswer = {
  status: 503,
  body: {reason: 'configuration-unknown', detail: 'this entry has no configuration yet'},
};

function reject(findings: readonly Finding[]): OperatorAnswer {
  return {status: 422, body: {findings}};
}
