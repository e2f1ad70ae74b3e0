import {readFileSync, writeFileSync} from 'node:fs';
import {exitCodes} from '../exit-code.js';
import {CommandError} from './session.js';

/** Reads a text file; `-` is standard input. Throws `CommandError` when it cannot be read. */
export function readText(file: string): string {
  try {
    return readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch (error) {
    throw new CommandError(`cannot read ${file}: ${getErrorCode(error)}`, exitCodes.findings);
  }
}

/** Writes a value to a file as JSON. Throws `CommandError` when it cannot be written. */
export function writeJson(file: string, value: unknown): void {
  try {
    writeFileSync(file, `${JSON.stringify(value, undefined, 2)}\n`);
  } catch (error) {
    throw new CommandError(`cannot write ${file}: ${getErrorCode(error)}`, exitCodes.findings);
  }
}

function getErrorCode(error: unknown): string {
  return (error as {code?: string}).code ?? String(error);
}
