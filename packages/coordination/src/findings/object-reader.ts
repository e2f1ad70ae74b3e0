import type {Finding} from './finding.js';

/** Limits of a whole number. */
export interface IntegerRange {
  readonly min: number;
  readonly max: number;
}

/** Limits of a text. */
export interface TextRule {
  readonly pattern: RegExp;
  /** The rule in words, shown as what is allowed. */
  readonly allowed: string;
}

const maxRenderedLength = 60;

/** Renders a rejected value for a person, shortened to one line. */
export function renderValue(value: unknown): string {
  if (value === undefined) return 'missing';
  const text = JSON.stringify(value) ?? String(value);
  return text.length > maxRenderedLength ? `${text.slice(0, maxRenderedLength - 3)}...` : text;
}

/** Tells whether a value is an object other than an array. */
export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Reads the fields of one object of a settings or intent file. Each wrong field becomes a finding and
 * reads as undefined, so that one pass reports every problem.
 */
export class ObjectReader {
  readonly #used = new Set<string>();

  constructor(
    private readonly fields: Record<string, unknown>,
    private readonly source: string,
    private readonly path: string,
    private readonly findings: Finding[],
  ) {}

  /** Adds a finding on a field. */
  reject(field: string, allowed: string): undefined {
    this.#used.add(field);
    this.rejectAt(this.getPlace(field), this.fields[field], allowed);
    return undefined;
  }

  /** Adds a finding on a value inside this object, for example an element of a list. */
  rejectAt(place: string, value: unknown, allowed: string): void {
    this.findings.push({source: this.source, place, value: renderValue(value), allowed});
  }

  /** Returns the path of a field inside the source. */
  getPlace(field: string): string {
    return this.path === '' ? field : `${this.path}.${field}`;
  }

  /** Tells whether the field is present. */
  has(field: string): boolean {
    this.#used.add(field);
    return this.fields[field] !== undefined;
  }

  /** Returns a text that follows the rule. */
  getText(field: string, rule: TextRule): string | undefined {
    this.#used.add(field);
    const value = this.fields[field];
    if (typeof value === 'string' && rule.pattern.test(value)) return value;
    return this.reject(field, rule.allowed);
  }

  /** Returns one of the listed words. */
  getWord<Word extends string>(field: string, words: readonly Word[]): Word | undefined {
    this.#used.add(field);
    const value = this.fields[field];
    const word = words.find(candidate => candidate === value);
    return word ?? this.reject(field, `one of ${words.join(', ')}`);
  }

  /** Returns a whole number in the range. */
  getInteger(field: string, range: IntegerRange, unit: string): number | undefined {
    this.#used.add(field);
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

  /** Returns a number within a range. */
  getNumber(field: string, range: IntegerRange, unit: string): number | undefined {
    this.#used.add(field);
    const value = this.fields[field];
    if (typeof value === 'number' && value >= range.min && value <= range.max) return value;
    return this.reject(field, `number from ${range.min} to ${range.max} (${unit})`);
  }

  /** Returns a boolean. */
  getBoolean(field: string): boolean | undefined {
    this.#used.add(field);
    const value = this.fields[field];
    return typeof value === 'boolean' ? value : this.reject(field, 'true or false');
  }

  /** Returns a reader of a nested object. */
  getObject(field: string): ObjectReader | undefined {
    this.#used.add(field);
    const value = this.fields[field];
    if (!isRecord(value)) return this.reject(field, 'an object');
    return new ObjectReader(value, this.source, this.getPlace(field), this.findings);
  }

  /** Returns the elements of a list; an absent field is an empty list. */
  getList(field: string): ReadonlyArray<{readonly value: unknown; readonly place: string}> {
    this.#used.add(field);
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

  /** Returns readers of the objects of a list. */
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

  /** Reports every field that was not read. Call it after the last read. */
  rejectUnknownFields(): void {
    const known = [...this.#used].sort().join(', ');
    for (const field of Object.keys(this.fields)) {
      if (!this.#used.has(field)) this.reject(field, `no field of this name; known: ${known}`);
    }
  }
}
