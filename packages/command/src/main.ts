#!/usr/bin/env node
import {createInterface} from 'node:readline/promises';
import {runCommand} from './program.js';

const interrupt = new AbortController();
process.once('SIGINT', () => interrupt.abort());
// A reader that closes early, such as `head`, is not an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code === 'EPIPE') process.exit(0);
  throw error;
});

process.exitCode = await runCommand(process.argv.slice(2), {
  print: text => process.stdout.write(`${text}\n`),
  printError: text => process.stderr.write(`${text}\n`),
  isTerminal: process.stdin.isTTY && process.stdout.isTTY,
  environment: process.env,
  signal: interrupt.signal,
  ask: async question => {
    const terminal = createInterface({input: process.stdin, output: process.stdout});
    terminal.once('SIGINT', () => interrupt.abort());
    try {
      return await terminal.question(question, {signal: interrupt.signal});
    } finally {
      terminal.close();
    }
  },
});
