import type {
  Acknowledge,
  AttemptReport,
  Grant,
  Hello,
  Start,
  Stop,
  Throttle,
} from '../messages/control.js';
import type {Resources} from '../messages/identity.js';
import type {Reducer} from '../reducer.js';
import {fits} from './amounts.js';
import {AgentAttempt, sumActiveResources} from './agent-attempt.js';
import type {AgentTasksEffect, AgentTasksEvent, WorkerAction, WorkerTask} from './events.js';
import {AcknowledgedAttempts} from './acknowledged-attempts.js';
import {taskHeartbeatMs, taskLeaseMs} from './timing.js';

/** Interval between reads of the worker's tasks. */
const workerReadIntervalMs = 1_000;

/** Time after which an unanswered read or call to the worker is retried. */
const workerRetryMs = 3_000;

/** Time after which an unacknowledged terminal report is resent. */
const reportRetryMs = 6_000;

/**
 * Supervises the tasks of one host through its worker. Leases expire by the agent's own clock, and the agent refuses
 * starts that would exceed the host's capacity.
 */
export class AgentTasks implements Reducer<AgentTasksEvent, AgentTasksEffect> {
  private readonly attempts = new Map<string, AgentAttempt>();
  private readonly peers = new Set<string>();
  private readonly acknowledged = new AcknowledgedAttempts();
  private owner?: string;
  private term = 0;
  private capacity?: Resources;
  private heartbeatAt = Number.NEGATIVE_INFINITY;
  private readAt = Number.NEGATIVE_INFINITY;
  private isReading = false;
  private inFlight = 0;
  private configVersion = 0;
  private effects: AgentTasksEffect[] = [];
  private readonly attemptsToReport = new Set<AgentAttempt>();

  /** @inheritdoc */
  reduce(event: AgentTasksEvent, at: number): readonly AgentTasksEffect[] {
    this.effects = [];
    this.apply(event, at);
    this.reportChanges(at);
    return this.effects;
  }

  /** Attempts on the host, for status displays and checks. */
  getAttempts(): readonly AgentAttempt[] {
    return [...this.attempts.values()];
  }

  private apply(event: AgentTasksEvent, at: number): void {
    switch (event.kind) {
      case 'tick':
        this.inFlight = event.inFlight ?? this.inFlight;
        this.configVersion = event.configVersion ?? this.configVersion;
        this.tick(at);
        break;
      case 'message':
        this.receive(event.peer, event.message, at);
        break;
      case 'peer-up':
        this.peerUp(event.peer, event.hello, at);
        break;
      case 'peer-down':
        this.peers.delete(event.peer);
        break;
      case 'worker-state':
        this.applyWorkerState(event.tasks, event.capacity, event.term, at);
        break;
      case 'worker-unreachable':
        this.isReading = false;
        break;
      case 'worker-result':
        this.applyResult(event, at);
        break;
      case 'worker-usage':
        for (const {task, attempt, usage} of event.usages) {
          const entry = this.attempts.get(task);
          if (entry?.attempt !== attempt || entry.isTerminal) continue;
          entry.usage = usage;
          this.attemptsToReport.add(entry);
        }
        break;
    }
  }

  private tick(at: number): void {
    if (at - this.readAt >= (this.isReading ? workerRetryMs : workerReadIntervalMs)) {
      this.readAt = at;
      this.isReading = true;
      this.effects.push({kind: 'read-worker'});
    }
    for (const entry of this.attempts.values()) this.checkLease(entry, at);
    if (at - this.heartbeatAt >= taskHeartbeatMs) {
      this.heartbeatAt = at;
      for (const peer of this.peers) this.sendHeartbeat(peer, at);
    }
  }

  /** Retries calls and reports, and stops a task at its lease end. By `getLatestEnd` the worker has stopped it anyway. */
  private checkLease(entry: AgentAttempt, at: number): void {
    if (entry.isTerminal) {
      if (at - entry.reportedAt >= reportRetryMs) this.attemptsToReport.add(entry);
      return;
    }
    if (at < entry.leaseUntil) {
      const pending = entry.stopping ?? entry.pendingCall;
      if (pending && at - entry.calledAt >= workerRetryMs) this.call(entry, pending, at);
      return;
    }
    entry.detail ??= 'lease-ended';
    if (at >= entry.getLatestEnd()) this.end(entry, 'stopped');
    else if (entry.stopping !== 'stop') this.call(entry, 'stop', at);
  }

  private peerUp(peer: string, _hello: Hello | undefined, at: number): void {
    this.peers.add(peer);
    this.sendHeartbeat(peer, at);
    if (this.capacity) this.sendFullReport(peer);
  }

  private sendHeartbeat(peer: string, at: number): void {
    const {configVersion, inFlight} = this;
    const message = {kind: 'heartbeat', stamp: at, configVersion, inFlight} as const;
    this.effects.push({kind: 'send', peer, message});
  }

  private sendFullReport(peer: string): void {
    this.sendReport(
      peer,
      true,
      [...this.attempts.values()].map(entry => entry.toReport()),
    );
  }

  private sendReport(
    peer: string | undefined,
    full: boolean,
    attempts: readonly AttemptReport[],
  ): void {
    if (peer === undefined || !this.peers.has(peer)) return;
    this.effects.push({kind: 'send', peer, message: {kind: 'report', full, attempts}});
  }

  private reportChanges(at: number): void {
    if (this.attemptsToReport.size === 0) return;
    const attempts: AttemptReport[] = [];
    for (const entry of this.attemptsToReport) {
      entry.reportedAt = at;
      attempts.push(entry.toReport());
      // Usage is sent once, so that a later report does not repeat an old measurement.
      entry.usage = undefined;
    }
    this.attemptsToReport.clear();
    this.sendReport(this.owner, false, attempts);
  }

  private receive(
    peer: string,
    message: Grant | Start | Stop | Throttle | Acknowledge,
    at: number,
  ): void {
    if (message.kind === 'acknowledge') {
      for (const {task, attempt} of message.attempts) this.removeAcknowledged(task, attempt);
      return;
    }
    if (message.term < this.term) {
      this.count('stale-term-refused');
      return;
    }
    if (message.term > this.term || this.owner !== peer) {
      this.term = message.term;
      this.owner = peer;
      if (this.capacity && message.kind !== 'grant') this.sendFullReport(peer);
    }
    switch (message.kind) {
      case 'grant':
        this.extendLeases(message, at);
        break;
      case 'start':
        this.start(message, at);
        break;
      case 'stop':
        this.stop(message, at);
        break;
      case 'throttle': {
        const entry = this.attempts.get(message.task);
        if (entry?.attempt !== message.attempt || entry.isTerminal) break;
        entry.fraction = message.fraction;
        this.call(entry, 'throttle', at);
        break;
      }
    }
  }

  /** Rejects future stamps (of an earlier incarnation of the agent) and old stamps (from a scheduler that was paused). */
  private isStampValid(stamp: number, at: number): boolean {
    return stamp <= at && at - stamp < taskLeaseMs;
  }

  private extendLeases(message: Grant, at: number): void {
    if (message.leaseMs <= 0) {
      // A new owner sends a grant without a lease to get a full report before it extends any lease.
      if (this.capacity && this.owner !== undefined) this.sendFullReport(this.owner);
      return;
    }
    if (!this.isStampValid(message.stamp, at)) {
      this.count('stale-grant-refused');
      return;
    }
    const until = message.stamp + Math.min(message.leaseMs, taskLeaseMs);
    for (const entry of this.attempts.values()) {
      if (entry.isTerminal || entry.stopping || at >= entry.leaseUntil) continue;
      if (until <= entry.leaseUntil) continue;
      entry.leaseUntil = until;
      if (!entry.pendingCall) this.call(entry, 'renew', at);
    }
  }

  private start(message: Start, at: number): void {
    const present = this.attempts.get(message.task);
    if (present && present.attempt >= message.attempt) return;
    if (this.acknowledged.has(message.task, message.attempt)) return;
    const entry = new AgentAttempt(message.task, message.attempt, message.workload);
    entry.resources = message.resources;
    entry.checkpoint = message.checkpoint;
    entry.leaseUntil = message.stamp + Math.min(message.leaseMs, taskLeaseMs);
    const refusal = this.getRefusal(message, present, at);
    if (refusal !== undefined) {
      this.count('start-refused');
      // Keep the entry of the attempt that still runs; the refusal is reported once and not resent.
      if (present && !present.isTerminal) {
        const {task, attempt} = message;
        this.sendReport(this.owner, false, [{task, attempt, state: 'refused', detail: refusal}]);
        return;
      }
      this.attempts.set(message.task, entry);
      entry.detail = refusal;
      this.end(entry, 'refused');
      return;
    }
    this.attempts.set(message.task, entry);
    this.attemptsToReport.add(entry);
    this.call(entry, 'start', at);
  }

  private getRefusal(
    message: Start,
    present: AgentAttempt | undefined,
    at: number,
  ): string | undefined {
    if (!this.isStampValid(message.stamp, at)) return 'stale-stamp';
    if (!this.capacity) return 'worker-unknown';
    if (present && !present.isTerminal) return 'task-present';
    return fits(this.capacity, sumActiveResources(this.attempts.values()), message.resources)
      ? undefined
      : 'over-capacity';
  }

  private stop(message: Stop, at: number): void {
    const entry = this.attempts.get(message.task);
    if (!entry || entry.attempt < message.attempt) {
      // The start never arrived or the end was acknowledged: in both cases nothing runs.
      const {task, attempt} = message;
      this.sendReport(this.owner, false, [{task, attempt, state: 'stopped', detail: 'absent'}]);
      return;
    }
    if (entry.attempt !== message.attempt) return;
    if (entry.isTerminal) {
      this.attemptsToReport.add(entry);
      return;
    }
    if (entry.stopping === 'stop') return;
    entry.detail ??= message.reason;
    this.call(entry, message.checkpoint ? 'checkpoint' : 'stop', at);
  }

  private call(entry: AgentAttempt, action: WorkerAction, at: number): void {
    this.effects.push(entry.beginCall(action, this.term, at));
  }

  private applyResult(event: Extract<AgentTasksEvent, {kind: 'worker-result'}>, at: number): void {
    const entry = this.attempts.get(event.task);
    if (entry?.attempt !== event.attempt || entry.isTerminal) return;
    if (entry.pendingCall === event.action) entry.pendingCall = undefined;
    switch (event.action) {
      case 'start':
        if (event.ok) this.confirm(entry, at);
        else if (!entry.stopping) {
          // The call may have taken effect although it failed, so the task is stopped.
          entry.failed = true;
          entry.detail = event.detail ?? 'start-failed';
          this.call(entry, 'stop', at);
        }
        break;
      case 'checkpoint':
        if (event.ok && event.checkpoint !== undefined) entry.checkpoint = event.checkpoint;
        if (entry.stopping === 'checkpoint') this.call(entry, 'stop', at);
        break;
      case 'stop':
        if (event.ok) this.end(entry, entry.failed ? 'failed' : 'stopped');
        break;
      case 'renew':
      case 'throttle':
        break;
    }
  }

  private confirm(entry: AgentAttempt, at: number): void {
    entry.confirmedAt = at;
    if (entry.state !== 'starting') return;
    entry.state = 'running';
    this.attemptsToReport.add(entry);
  }

  private applyWorkerState(
    tasks: readonly WorkerTask[],
    capacity: Resources,
    term: number,
    at: number,
  ): void {
    const isFirst = this.capacity === undefined;
    this.capacity = capacity;
    this.isReading = false;
    this.term = Math.max(this.term, term);
    const listed = new Map(tasks.map(task => [task.task, task]));
    for (const task of tasks) this.applyWorkerTask(task, at);
    for (const entry of this.attempts.values()) {
      if (entry.isTerminal || entry.confirmedAt >= this.readAt) continue;
      if (listed.get(entry.task)?.attempt === entry.attempt) continue;
      // The worker confirmed the task before this list was requested, so a missing task has ended.
      entry.detail ??= 'gone-from-worker';
      this.end(entry, entry.stopping ? 'stopped' : 'failed');
    }
    if (isFirst) for (const peer of this.peers) this.sendFullReport(peer);
  }

  private applyWorkerTask(task: WorkerTask, at: number): void {
    let entry = this.attempts.get(task.task);
    if (this.acknowledged.has(task.task, task.attempt)) {
      this.stopEnded(task.task, task.attempt);
      return;
    }
    if (!entry || (entry.attempt < task.attempt && entry.isTerminal)) {
      entry = new AgentAttempt(task.task, task.attempt, task.workload);
      entry.resources = task.resources;
      entry.leaseUntil = at + task.leaseMs;
      entry.confirmedAt = at;
      entry.state = 'running';
      this.attempts.set(task.task, entry);
      this.attemptsToReport.add(entry);
    }
    if (entry.attempt !== task.attempt) return;
    // The worker may run a start after the agent's call has timed out.
    if (entry.isTerminal && task.state === 'running') this.stopEnded(task.task, task.attempt);
    if (entry.isTerminal) return;
    if (task.checkpoint !== undefined && task.checkpoint !== entry.checkpoint) {
      entry.checkpoint = task.checkpoint;
      this.attemptsToReport.add(entry);
    }
    if (task.state === 'running') this.confirm(entry, at);
    if (task.detail !== undefined) entry.detail = task.detail;
    if (task.state === 'finished' || task.state === 'failed') this.end(entry, task.state);
    else if (task.state === 'stopped') this.end(entry, 'stopped');
  }

  private end(entry: AgentAttempt, state: AttemptReport['state']): void {
    entry.state = state;
    entry.isTerminal = true;
    entry.pendingCall = undefined;
    entry.stopping = undefined;
    this.attemptsToReport.add(entry);
  }

  private removeAcknowledged(task: string, attempt: number): void {
    const entry = this.attempts.get(task);
    if (entry?.attempt !== attempt || !entry.isTerminal) return;
    this.attempts.delete(task);
    this.attemptsToReport.delete(entry);
    this.acknowledged.add(task, attempt);
    this.stopEnded(task, attempt);
  }

  /** Makes the worker remove an ended attempt, which it lists until it receives a stop call. */
  private stopEnded(task: string, attempt: number): void {
    this.effects.push({kind: 'worker-call', action: 'stop', term: this.term, task, attempt});
  }

  private count(name: string): void {
    this.effects.push({kind: 'count', name, by: 1});
  }
}
