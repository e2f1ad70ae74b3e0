import {parseIntentText, type Finding} from '@chervilbeam/coordination';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {readText} from './files.js';
import type {Session} from './session.js';

/** Checks intent files without calling an entry, and reports all findings of all files. */
export function validateFiles(session: Session, files: readonly string[]): ExitCode {
  const findings = files.flatMap(getFindings);
  if (findings.length > 0) return session.reportFindings(findings);
  session.print({valid: files}, () => files.map(file => `${file}: valid`).join('\n'));
  return exitCodes.success;
}

function getFindings(file: string): readonly Finding[] {
  const result = parseIntentText(readText(file), file);
  return result.ok ? [] : result.findings;
}
