import type {NumberRange, ObjectReader, TextRule} from '../../findings/object-reader.js';
import type {Resources} from '../../messages/identity.js';

/** Largest number of replicas or items of one workload. The ledger of finished items keeps one bit for each. */
export const taskLimit = 1_000_000;

/** Names of workloads, teams and hosts. They appear in task ids and store keys. */
export const nameRule: TextRule = {
  pattern: /^[a-z0-9][a-z0-9.-]{0,62}$/,
  allowed: 'at most 63 lower-case letters, digits, dots and hyphens, not starting with a sign',
};

/** Name of the person or program that submits an intent. */
export const operatorRule: TextRule = {
  pattern: /^\S(.{0,98}\S)?$/u,
  allowed: 'a name of 1 to 100 characters',
};

/** HTTP methods that may be declared idempotent. */
export const idempotentMethodRule: TextRule = {
  pattern: /^(GET|HEAD|PUT|DELETE|OPTIONS|POST|PATCH)$/,
  allowed: 'GET, HEAD, PUT, DELETE, OPTIONS, POST or PATCH',
};

const resourceRanges: Record<keyof Resources, {range: NumberRange; unit: string}> = {
  processors: {range: {min: 0, max: 100_000_000}, unit: 'millicores, 1000 = one processor'},
  memoryMb: {range: {min: 0, max: 1_000_000_000}, unit: 'megabytes'},
  accelerators: {range: {min: 0, max: 100_000}, unit: 'accelerators'},
  slots: {range: {min: 0, max: 1_000_000}, unit: 'concurrent exchanges'},
};

/** Reads an amount of resources. Absent resources are zero, but at least one must be given. */
export function readResources(parent: ObjectReader, field: string): Resources | undefined {
  const reader = parent.getObject(field);
  if (!reader) return undefined;
  const amounts = {processors: 0, memoryMb: 0, accelerators: 0, slots: 0};
  let isValid = true;
  let givenCount = 0;
  for (const name of Object.keys(resourceRanges) as Array<keyof Resources>) {
    if (!reader.has(name)) continue;
    givenCount++;
    const {range, unit} = resourceRanges[name];
    const amount = reader.getInteger(name, range, unit);
    if (amount === undefined) isValid = false;
    else amounts[name] = amount;
  }
  reader.rejectUnknownFields();
  if (givenCount === 0) {
    const names = Object.keys(resourceRanges).join(', ');
    return parent.reject(field, `at least one of ${names}`);
  }
  return isValid ? amounts : undefined;
}

const daysInMonth = [31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];

/** Returns an ISO 8601 time in milliseconds since the Unix epoch, or undefined for a date that does not exist. */
export function parseDate(text: string): number | undefined {
  const [year, month, day] = text.slice(0, 10).split('-').map(Number) as [number, number, number];
  const isLeap = (year % 4 === 0 && year % 100 !== 0) || year % 400 === 0;
  const days = month === 2 && !isLeap ? 28 : daysInMonth[month - 1];
  if (days === undefined || day < 1 || day > days) return undefined;
  const time = Date.parse(text);
  return Number.isNaN(time) ? undefined : time;
}
