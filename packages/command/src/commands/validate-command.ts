import {isRecord, parseIntentText, type Finding} from '@chervilbeam/coordination';
import {parseSettings} from '@chervilbeam/runtime';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {readText} from './files.js';
import type {Session} from './session.js';

/** Checks settings and intent files without calling an entry, and reports the findings of all files at once. */
export function validateFiles(session: Session, files: readonly string[]): ExitCode {
  const findings = files.flatMap(getFindings);
  if (findings.length > 0) return session.reportFindings(findings);
  session.print({valid: files}, () => files.map(file => `${file}: valid`).join('\n'));
  return exitCodes.success;
}

function getFindings(file: string): readonly Finding[] {
  const text = readText(file);
  if (isSettings(text)) {
    return parseSettings(text, file).match(
      () => [],
      findings => findings,
    );
  }
  const result = parseIntentText(text, file);
  return result.ok ? [] : result.findings;
}

/** Whether a file holds settings: they have a `role` or `listen` field, which intents do not have. */
function isSettings(text: string): boolean {
  try {
    const value = JSON.parse(text) as unknown;
    return isRecord(value) && ('role' in value || 'listen' in value);
  } catch {
    return false;
  }
}
