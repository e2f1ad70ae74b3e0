import type {Finding} from '@chervilbeam/coordination';

/** Formats a finding as one line with the file, the path of the setting, its value and what is allowed. */
export function formatFinding(finding: Finding): string {
  const place = finding.place === '' ? '' : `: ${finding.place}`;
  return `${finding.source}${place}: ${finding.value} is not allowed; allowed: ${finding.allowed}`;
}
