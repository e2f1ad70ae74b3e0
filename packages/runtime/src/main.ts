#!/usr/bin/env node
import {Command} from 'commander';
import {runDaemon} from './daemon/index.js';
import {formatFinding, readSettings} from './settings/index.js';

const invalidSettingsStatus = 2;

const command = new Command('chervilbeamd')
  .description('Runs one process of chervilbeam: an entry or an agent.')
  .requiredOption('--settings <file>', 'settings file (JSON)')
  .option('--check', 'check the settings file and exit');
command.parse();
const options = command.opts<{settings: string; check?: boolean}>();

const settings = readSettings(options.settings);
if (settings.isErr()) {
  for (const finding of settings.error) console.error(formatFinding(finding));
  process.exitCode = invalidSettingsStatus;
} else if (!options.check) {
  await runDaemon(settings.value);
}
