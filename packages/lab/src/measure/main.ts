import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {measureDataPath} from './data-path.js';
import {experiments} from './registry.js';
import {formatHtml, formatText} from './report.js';
import {runExperiment, type ExperimentSummary} from './summary.js';

const name = process.argv[2] ?? 'all';
if (name === 'data-path') {
  await measureDataPath();
  process.exit();
}
const selected = experiments.filter(e => name === 'all' || e.name === name);
if (selected.length === 0) {
  console.error(
    `unknown experiment "${name}"; allowed: all, data-path, ${experiments.map(e => e.name).join(', ')}`,
  );
  process.exit(2);
}
const directory = join('output', 'measure');
mkdirSync(directory, {recursive: true});
const summaries: ExperimentSummary[] = [];
for (const experiment of selected) {
  const summary = runExperiment(experiment);
  summaries.push(summary);
  console.log(`${formatText(summary)}\n`);
  writeFileSync(join(directory, `${experiment.name}.json`), JSON.stringify(summary, null, 2));
}
writeFileSync(join(directory, `${name}.html`), formatHtml(summaries));
const missedTargets = summaries.flatMap(s => s.measures.filter(m => m.met === false));
console.log(
  `targets not met: ${missedTargets.filter(m => !m.policy.startsWith('baseline')).length}`,
);
