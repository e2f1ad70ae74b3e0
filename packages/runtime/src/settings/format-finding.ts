import type {Finding} from '@chervilbeam/coordination';

/** Returns one line for a person: file, path, value and what is allowed. */
export function formatFinding(finding: Finding): string {
  const place = finding.place === '' ? '' : `: ${finding.place}`;
  return `${finding.source}${place}: ${finding.value} is not allowed; allowed: ${finding.allowed}`;
}
