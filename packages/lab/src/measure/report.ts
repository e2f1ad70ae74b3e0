import type {Series, Target} from './experiment.js';
import type {ExperimentSummary, MeasureSummary} from './summary.js';

/** Formats a number with about three significant digits. */
export function formatValue(value: number): string {
  if (value === 0) return '0';
  const magnitude = Math.abs(value);
  if (magnitude >= 1000) return value.toFixed(0);
  const text = value.toPrecision(3);
  return text.includes('.') ? text.replace(/\.?0+$/, '') : text;
}

/** Formats the bounds of a target; empty without a target. */
export function formatTarget(target: Target | undefined): string {
  if (!target) return '';
  const parts: string[] = [];
  if (target.atLeast !== undefined) parts.push(`at least ${formatValue(target.atLeast)}`);
  if (target.atMost !== undefined) parts.push(`at most ${formatValue(target.atMost)}`);
  return parts.join(', ');
}

/** Formats the measures of an experiment as a table of plain text. */
export function formatText(summary: ExperimentSummary): string {
  const rows = summary.measures.map(m => [
    m.scenario,
    m.policy,
    m.measure,
    `${formatValue(m.median)} ${m.unit}`,
    `${formatValue(m.lowest)}..${formatValue(m.highest)}`,
    formatTarget(m.target),
    m.met === undefined ? '' : m.met ? 'met' : 'NOT MET',
  ]);
  const header = ['scenario', 'policy', 'measure', 'median', 'spread', 'target', ''];
  const allRows = [header, ...rows];
  const widths = header.map((_, i) => Math.max(...allRows.map(row => row[i]!.length)));
  const lines = allRows.map(row =>
    row
      .map((cell, i) => cell.padEnd(widths[i]!))
      .join('  ')
      .trimEnd(),
  );
  return [`${summary.title} (seeds ${summary.seeds.join(', ')})`, ...lines].join('\n');
}

/** Returns a self-contained HTML page with the tables and plots of all experiments. */
export function formatHtml(summaries: readonly ExperimentSummary[]): string {
  const style =
    'body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}' +
    'td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}.miss{background:#fdd}.met{background:#dfd}' +
    'svg{margin:0 1em 1em 0}';
  const parts = summaries.map(
    s =>
      `<h2>${escapeHtml(s.title)}</h2><p>Seeds ${s.seeds.join(', ')}; median and spread.</p>` +
      formatTable(s.measures) +
      formatPlots(s),
  );
  return (
    '<!doctype html><meta charset="utf-8"><title>chervilbeam measurements</title>' +
    `<style>${style}</style><h1>chervilbeam measurements</h1>${parts.join('')}\n`
  );
}

function formatTable(measures: readonly MeasureSummary[]): string {
  const rows = measures.map(m => {
    const style = m.met === undefined ? '' : ` class="${m.met ? 'met' : 'miss'}"`;
    const cells = [m.scenario, m.policy, m.measure, formatValue(m.median), m.unit];
    cells.push(`${formatValue(m.lowest)}..${formatValue(m.highest)}`, formatTarget(m.target));
    return `<tr${style}>${cells.map(c => `<td>${escapeHtml(c)}</td>`).join('')}</tr>`;
  });
  const header = ['scenario', 'policy', 'measure', 'median', 'unit', 'spread', 'target'];
  return `<table><tr>${header.map(h => `<th>${h}</th>`).join('')}</tr>${rows.join('')}</table>`;
}

function formatPlots(summary: ExperimentSummary): string {
  const groups = new Map<string, Array<{policy: string; series: Series}>>();
  for (const {scenario, policy, series} of summary.series) {
    const key = `${scenario}: ${series.name} (${series.unit})`;
    const group = groups.get(key) ?? [];
    group.push({policy, series});
    groups.set(key, group);
  }
  return [...groups].map(([title, lines]) => formatPlot(title, lines)).join('');
}

const colours = ['#1b6ca8', '#c0392b', '#27855a', '#8e5ea2', '#b8860b', '#555555'];

function formatPlot(title: string, lines: ReadonlyArray<{policy: string; series: Series}>): string {
  const [width, height, left, bottom] = [520, 220, 50, 40];
  const points = lines.flatMap(l => l.series.points);
  const maxX = Math.max(1, ...points.map(p => p[0]));
  const maxY = Math.max(1e-9, ...points.map(p => p[1]));
  const toX = (value: number) => (left + (value / maxX) * (width - left - 10)).toFixed(1);
  const toY = (value: number) =>
    (height - bottom - (value / maxY) * (height - bottom - 20)).toFixed(1);
  const paths = lines.map(({series}, i) => {
    const path = series.points.map(([a, b]) => `${toX(a)},${toY(b)}`).join(' ');
    return `<polyline fill="none" stroke="${colours[i % colours.length]}" points="${path}"/>`;
  });
  const legend = lines.map(
    ({policy}, i) =>
      `<text x="${left + i * 130}" y="${height - 4}" fill="${colours[i % colours.length]}">${escapeHtml(policy)}</text>`,
  );
  const axes =
    `<text x="0" y="12">${escapeHtml(title)}</text><text x="0" y="${toY(maxY)}">${formatValue(maxY)}</text>` +
    `<text x="0" y="${toY(0)}">0</text><text x="${width - 60}" y="${height - 22}">${formatValue(maxX / 1000)} s</text>`;
  return `<svg width="${width}" height="${height}" font-size="11">${axes}${paths.join('')}${legend.join('')}</svg>`;
}

function escapeHtml(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;');
}
