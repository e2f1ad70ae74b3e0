import {
  getStampTime,
  type ConfigurationChange,
  type ConfigurationOperation,
  type Finding,
  type Plan,
  type TimelineEvent,
} from '@chervilbeam/coordination';
import type {OperatorStatus} from '@chervilbeam/runtime';
import type {LogLine, SubmissionStory} from '../explain/index.js';
import {replaceControlCharacters, renderTable} from './table.js';

/** Renders findings, one per line: source, place, value and allowed values. */
export function renderFindings(findings: readonly Finding[]): string {
  return findings
    .map(({source, place, value, allowed}) =>
      replaceControlCharacters(`${source}: ${place}: ${value} is not allowed; allowed: ${allowed}`),
    )
    .join('\n');
}

/** Describes one operation in a phrase. */
export function renderOperation(operation: ConfigurationOperation): string {
  switch (operation.kind) {
    case 'put-workload': {
      const {kind, name, team, urgency, tasks} = operation.workload;
      return `set ${kind} ${name} (team ${team}, ${urgency}, ${tasks} tasks)`;
    }
    case 'put-team':
      return `set team ${operation.team.name} (weight ${operation.team.weight})`;
    case 'remove-workload':
      return `remove workload ${operation.name}`;
    case 'remove-team':
      return `remove team ${operation.name}`;
    case 'drain-host':
      return `drain host ${operation.host}`;
    case 'undrain-host':
      return `return host ${operation.host} to service`;
  }
}

/** Renders a plan as text: its operations and its effects on tasks. */
export function renderPlan(plan: Plan): string {
  const operations = plan.operations.map(
    operation => `  ${replaceControlCharacters(renderOperation(operation))}`,
  );
  const effects = renderTable(
    ['ACTION', 'WORKLOAD', 'TASKS', 'HOSTS', 'REASON'],
    plan.effects.map(effect => [
      effect.action,
      effect.workload,
      `${effect.tasks}`,
      effect.hosts.length > 3 ? `${effect.hosts.length} hosts` : effect.hosts.join(','),
      effect.reason,
    ]),
  );
  const source =
    plan.prediction === 'scheduler'
      ? 'Effects as the scheduler predicts them:'
      : 'Effects by the declared numbers of tasks (this entry schedules no cell):';
  return [
    `Plan ${plan.planId} of ${replaceControlCharacters(plan.author)} on version ${plan.baseVersion}, digest ${plan.digest}`,
    operations.length > 0 ? `Changes:\n${operations.join('\n')}` : 'Changes: none',
    plan.effects.length > 0 ? `${source}\n${effects}` : 'Effects on tasks: none',
  ].join('\n');
}

/** Renders the changes that were accepted after the base version of a refused plan. */
export function renderDifference(changes: readonly ConfigurationChange[]): string {
  return changes
    .map(({version, author, operations}) => {
      const lines = operations.map(
        operation => `    ${replaceControlCharacters(renderOperation(operation))}`,
      );
      return [`  version ${version} by ${replaceControlCharacters(author)}`, ...lines].join('\n');
    })
    .join('\n');
}

/** Renders the configuration version of each process, the progress of workloads and the findings. */
export function renderStatus(status: OperatorStatus): string {
  const rows = [...status.processes]
    .sort((a, b) => (a.name < b.name ? -1 : 1))
    .map(({name, role, region, dataCentre, version}) => [
      name,
      role,
      region,
      dataCentre,
      `${version}`,
      version >= status.version ? 'in force' : `behind by ${status.version - version}`,
    ]);
  const lines = [
    `Deployment ${status.deployment}, configuration version ${status.version}`,
    renderTable(['PROCESS', 'ROLE', 'REGION', 'DATA CENTRE', 'VERSION', 'STATE'], rows),
  ];
  if (status.workloads.length > 0) {
    const workloads = status.workloads.map(
      ({name, kind, team, running, waiting, finished, tasks}) => [
        name,
        kind,
        team,
        `${running}`,
        `${waiting}`,
        kind === 'batch' ? `${finished} of ${tasks}` : '',
      ],
    );
    const header = ['WORKLOAD', 'KIND', 'TEAM', 'RUNNING', 'WAITING', 'FINISHED'];
    lines.push('', renderTable(header, workloads));
  }
  if (status.findings.length > 0) {
    const findings = status.findings.map(({workload, reason}) => [workload, reason]);
    lines.push(renderTable(['WORKLOAD', 'FINDING'], findings));
  }
  return lines.join('\n');
}

/** Renders merged events, each with the milliseconds since the first one. */
export function renderTimeline(events: readonly TimelineEvent[]): string {
  const start = events[0] ? getStampTime(events[0].stamp) : 0;
  return renderTable(
    ['TIME', 'AFTER MS', 'PROCESS', 'SUBJECT', 'STEP', 'PEER', 'DETAIL'],
    events.map(event => {
      const time = getStampTime(event.stamp);
      return [
        new Date(time).toISOString().slice(11, 23),
        (time - start).toFixed(1),
        event.process,
        `${event.subject} ${event.id}`.trim(),
        event.step,
        event.peer ?? '',
        [event.attempt === undefined ? '' : `attempt ${event.attempt}`, event.detail ?? '']
          .filter(text => text !== '')
          .join(', '),
      ];
    }),
  );
}

/** Renders what led to the end of a submission, then its log lines with the time since the first. */
export function renderStory(story: SubmissionStory): string {
  const startedAt = story.lines[0]?.stamp ?? 0;
  const rows = story.lines.map(line => [
    new Date(line.stamp).toISOString(),
    `+${Math.round(line.stamp - startedAt)} ms`,
    line.process,
    line.event,
    renderFields(line, story.id),
  ]);
  const findings = story.getFindings().map(replaceControlCharacters);
  const table = renderTable(['time', 'since', 'process', 'event', 'details'], rows);
  return [...findings, '', table].join('\n');
}

function renderFields({fields}: LogLine, id: string): string {
  return Object.entries(fields)
    .filter(([field, value]) => field !== 'submission' || value !== id)
    .map(([field, value]) => `${field}=${renderField(value)}`)
    .join(' ');
}

/** Numbers have at most three decimals, so that sums of cores stay readable. */
function renderField(value: unknown): string {
  if (typeof value === 'number') return String(Number(value.toFixed(3)));
  return typeof value === 'string' ? value : JSON.stringify(value);
}
