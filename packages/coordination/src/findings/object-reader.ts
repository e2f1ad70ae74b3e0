import type {Finding} from './finding.js';

/** Inclusive range of a number. */
export interface NumberRange {
  readonly min: number;
  readonly max: number;
}

/** Rule that a text must follow. */
export interface TextRule {
  readonly pattern: RegExp;
  /** Description of the rule, shown in findings. */
  readonly allowed: string;
}

/** Largest number of characters of a rendered value. */
const maxRenderedCharacters = 60;

/** Largest number of levels of nesting that are rendered; a few thousand would exhaust the stack. */
const maxRenderedLevels = 10;

/** Renders a rejected value for display as one line, shortened if it is long or deeply nested. */
export function renderValue(value: unknown): string {
  if (value === undefined) return 'missing';
  const text = JSON.stringify(value, createLevelLimiter()) ?? String(value);
  return text.length > maxRenderedCharacters
    ? `${text.slice(0, maxRenderedCharacters - 3)}...`
    : text;
}

/** Returns a replacer for `JSON.stringify` that renders values below `maxRenderedLevels` as an ellipsis. */
function createLevelLimiter(): (this: object, key: string, value: unknown) => unknown {
  const levels = new WeakMap<object, number>();
  return function (_key, value) {
    if (typeof value !== 'object' || value === null) return value;
    const level = (levels.get(this) ?? 0) + 1;
    if (level > maxRenderedLevels) return '...';
    levels.set(value, level);
    return value;
  };
}

/** Returns whether a value is an object and not an array. */
export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Reads the fields of one object of a settings or intent file. Each invalid field adds a finding and
 * reads as undefined, so that one pass reports every problem.
 */
export class ObjectReader {
  readonly #knownFields = new Set<string>();

  constructor(
    private readonly fields: Record<string, unknown>,
    private readonly source: string,
    private readonly path: string,
    private readonly findings: Finding[],
  ) {}

  /** Adds a finding for a field and returns undefined. */
  reject(field: string, allowed: string): undefined {
    this.#knownFields.add(field);
    this.rejectAt(this.getPlace(field), this.fields[field], allowed);
    return undefined;
  }

  /** Adds a finding for a value inside this object, for example an element of a list. */
  rejectAt(place: string, value: unknown, allowed: string): void {
    this.findings.push({source: this.source, place, value: renderValue(value), allowed});
  }

  /** Returns the path of a field inside the source. */
  getPlace(field: string): string {
    return this.path === '' ? field : `${this.path}.${field}`;
  }

  /** Returns whether the field is present, and marks it as known. */
  has(field: string): boolean {
    this.#knownFields.add(field);
    return this.fields[field] !== undefined;
  }

  /** Returns a text that follows the rule, or adds a finding. */
  getText(field: string, rule: TextRule): string | undefined {
    this.#knownFields.add(field);
    const value = this.fields[field];
    if (typeof value === 'string' && rule.pattern.test(value)) return value;
    return this.reject(field, rule.allowed);
  }

  /** Returns one of the listed words, or adds a finding. */
  getWord<Word extends string>(field: string, words: readonly Word[]): Word | undefined {
    this.#knownFields.add(field);
    const value = this.fields[field];
    const word = words.find(candidate => candidate === value);
    return word ?? this.reject(field, `one of ${words.join(', ')}`);
  }

  /** Returns a whole number in the range, or adds a finding. */
  getInteger(field: string, range: NumberRange, unit: string): number | undefined {
    this.#knownFields.add(field);
    const value = this.fields[field];
    if (
      typeof value === 'number' &&
      Number.isInteger(value) &&
      value >= range.min &&
      value <= range.max
    ) {
      return value;
    }
    return this.reject(field, `whole number from ${range.min} to ${range.max} (${unit})`);
  }

  /** Returns a number in the range, or adds a finding. */
  getNumber(field: string, range: NumberRange, unit: string): number | undefined {
    this.#knownFields.add(field);
    const value = this.fields[field];
    if (typeof value === 'number' && value >= range.min && value <= range.max) return value;
    return this.reject(field, `number from ${range.min} to ${range.max} (${unit})`);
  }

  /** Returns a boolean, or adds a finding. */
  getBoolean(field: string): boolean | undefined {
    this.#knownFields.add(field);
    const value = this.fields[field];
    return typeof value === 'boolean' ? value : this.reject(field, 'true or false');
  }

  /** Returns a reader of a nested object, or adds a finding. */
  getObject(field: string): ObjectReader | undefined {
    this.#knownFields.add(field);
    const value = this.fields[field];
    if (!isRecord(value)) return this.reject(field, 'an object');
    return new ObjectReader(value, this.source, this.getPlace(field), this.findings);
  }

  /** Returns the elements of a list with their paths. An absent field is an empty list. */
  getList(field: string): ReadonlyArray<{readonly value: unknown; readonly place: string}> {
    this.#knownFields.add(field);
    const value = this.fields[field];
    if (value === undefined) return [];
    if (!Array.isArray(value)) {
      this.reject(field, 'a list');
      return [];
    }
    return value.map((element: unknown, index) => ({
      value: element,
      place: `${this.getPlace(field)}[${index}]`,
    }));
  }

  /** Returns readers of the objects in a list. Other elements add findings. */
  getObjects(field: string): readonly ObjectReader[] {
    const readers: ObjectReader[] = [];
    for (const {value, place} of this.getList(field)) {
      if (isRecord(value)) {
        readers.push(new ObjectReader(value, this.source, place, this.findings));
      } else {
        this.rejectAt(place, value, 'an object');
      }
    }
    return readers;
  }

  /** Adds a finding for every field that was not read. Call it after the last read. */
  rejectUnknownFields(): void {
    const known = [...this.#knownFields].sort().join(', ');
    for (const field of Object.keys(this.fields)) {
      if (!this.#knownFields.has(field))
        this.reject(field, `no field of this name; known: ${known}`);
    }
  }
}
