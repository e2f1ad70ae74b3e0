import type {JsonLimits} from '../connections/index.js';
import {isRecord, renderValue, type Finding} from '../findings/index.js';
import type {Resources} from '../messages/identity.js';
import {getOccurrenceCount, type Step, type Submission} from './submission.js';

/** Maximum length of `spec` in bytes; the check counts UTF-16 code units, which is exact for ASCII. */
const maxSpecBytes = 4_000;
/** Maximum number of steps, of tasks in a step and of occurrences; anything larger is assumed to be a mistake. */
const maxSteps = 1_000;
const maxTasks = 20_000;
const maxOccurrences = 10_000;
/**
 * Maximum number of tasks, and of steps, of all occurrences of a submission together. A record of its finished tasks, with a
 * quarter of a byte for each task and some bytes for each step, has to fit into the store.
 */
const maxTotalTasks = 1_000_000;
const maxTotalSteps = 20_000;

/** Largest number of findings of one submission; further ones are left out, since each is larger than what it is about. */
const maxFindings = 100;
/** Containers of a submission: itself, its list of steps, and each step with its needs and its list of earlier steps. */
const maxContainers = 2 + 3 * maxSteps;
/** Twice the number of fields of a step, as callers may send fields that are ignored. */
const maxMembersPerStep = 40;

/** Returns limits on the JSON of a submission of at most `maxBodyBytes` bytes that no valid submission exceeds. */
export function getSubmissionJsonLimits(maxBodyBytes: number): JsonLimits {
  return {
    containers: 2 * maxContainers,
    members: maxMembersPerStep * (maxSteps + 1),
    // The lists of earlier steps may fill the whole body, with two bytes for each item.
    values: Math.ceil(maxBodyBytes / 2),
  };
}

/** Unvalidated fields of a caller's submission. */
export interface SubmissionDraft {
  readonly spec?: unknown;
  readonly steps?: unknown;
  readonly repetitions?: unknown;
  readonly startAtMs?: unknown;
  readonly intervalMs?: unknown;
}

/** A valid draft, without the fields that are added on acceptance. */
export type ValidDraft = Pick<
  Submission,
  'spec' | 'steps' | 'repetitions' | 'startAtMs' | 'intervalMs'
>;

/** Result of a check: the valid draft, or everything that is wrong with it. */
export type DraftCheckResult =
  | {readonly draft: ValidDraft; readonly findings?: undefined}
  | {readonly draft?: undefined; readonly findings: readonly Finding[]};

/** Reads the fields of a draft and collects a finding for each invalid one, which then reads as its default. */
class DraftReader {
  readonly findings: Finding[] = [];

  reject(place: string, value: unknown, allowed: string): void {
    if (this.findings.length >= maxFindings) return;
    this.findings.push({source: 'body', place, value: renderValue(value), allowed});
  }

  readNumber(place: string, value: unknown, max: number, min = 0): number {
    if (value === undefined || value === null) return 0;
    if (typeof value === 'number' && value >= min && value <= max) return value;
    this.reject(place, value, `number from ${min} to ${max}`);
    return 0;
  }

  readInteger(place: string, value: unknown, max: number, min = 0): number {
    const number = this.readNumber(place, value, max, min);
    if (Number.isInteger(number)) return number;
    this.reject(place, value, `whole number from ${min} to ${max}`);
    return 0;
  }

  readBoolean(place: string, value: unknown): boolean {
    if (value === undefined || value === null) return false;
    if (typeof value === 'boolean') return value;
    this.reject(place, value, 'true or false');
    return false;
  }

  text(place: string, value: unknown): string | undefined {
    if (value === undefined || value === null || value === '') return undefined;
    if (typeof value === 'string') return value;
    this.reject(place, value, 'text');
    return undefined;
  }
}

/** Validates a caller's submission; missing fields read as 0, false or empty. */
export function checkDraft(fields: SubmissionDraft): DraftCheckResult {
  const reader = new DraftReader();
  const draft = readDraft(reader, fields);
  checkTotals(reader, draft);
  return reader.findings.length > 0 ? {findings: reader.findings} : {draft};
}

/** Validates a stored submission: like `checkDraft`, but without the limits of totals, which earlier versions did not have. */
export function checkStoredDraft(fields: SubmissionDraft): DraftCheckResult {
  const reader = new DraftReader();
  const draft = readDraft(reader, fields);
  return reader.findings.length > 0 ? {findings: reader.findings} : {draft};
}

function checkTotals(reader: DraftReader, {steps, repetitions}: ValidDraft): void {
  const occurrences = getOccurrenceCount({repetitions});
  const totalSteps = occurrences * steps.length;
  const totalTasks = occurrences * steps.reduce((sum, {count}) => sum + count, 0);
  if (totalSteps > maxTotalSteps) {
    reader.reject(
      'steps',
      totalSteps,
      `at most ${maxTotalSteps} steps of all occurrences together`,
    );
  }
  if (totalTasks > maxTotalTasks) {
    reader.reject(
      'steps',
      totalTasks,
      `at most ${maxTotalTasks} tasks of all occurrences together`,
    );
  }
}

function readDraft(reader: DraftReader, fields: SubmissionDraft): ValidDraft {
  const spec = typeof fields.spec === 'string' ? fields.spec : '';
  if (typeof fields.spec !== 'string' && fields.spec !== undefined) {
    reader.reject('spec', fields.spec, 'text');
  }
  if (spec.length > maxSpecBytes) {
    reader.reject('spec', spec, `text of at most ${maxSpecBytes} bytes`);
  }
  const steps: Step[] = [];
  if (!Array.isArray(fields.steps) || fields.steps.length === 0 || fields.steps.length > maxSteps) {
    reader.reject('steps', fields.steps, `list of 1 to ${maxSteps} steps`);
  } else {
    fields.steps.forEach((value: unknown, index) => steps.push(readStep(reader, value, index)));
  }
  return {
    spec,
    steps,
    repetitions: reader.readInteger('repetitions', fields.repetitions, maxOccurrences),
    startAtMs: reader.readNumber('startAtMs', fields.startAtMs, Number.MAX_SAFE_INTEGER),
    intervalMs: reader.readNumber('intervalMs', fields.intervalMs, Number.MAX_SAFE_INTEGER),
  };
}

function readStep(reader: DraftReader, value: unknown, index: number): Step {
  const place = `steps[${index}]`;
  const fields = isRecord(value) ? value : {};
  if (!isRecord(value)) reader.reject(place, value, 'an object');
  const spreadLimit = reader.readInteger(`${place}.spreadLimit`, fields.spreadLimit, maxTasks);
  const tailTargetMs = reader.readNumber(`${place}.tailTargetMs`, fields.tailTargetMs, 1e9);
  const maxUnavailable = reader.readInteger(
    `${place}.maxUnavailable`,
    fields.maxUnavailable,
    maxTasks,
  );
  const label = reader.text(`${place}.label`, fields.label);
  const rack = reader.text(`${place}.rack`, fields.rack);
  const image = reader.text(`${place}.image`, fields.image);
  return {
    count: reader.readInteger(`${place}.count`, fields.count, maxTasks),
    need: readNeed(reader, `${place}.need`, fields.need),
    estimatedMs: reader.readNumber(`${place}.estimatedMs`, fields.estimatedMs, 1e9),
    after: readAfter(reader, `${place}.after`, fields.after, index),
    checkpoints: reader.readBoolean(`${place}.checkpoints`, fields.checkpoints),
    gang: reader.readBoolean(`${place}.gang`, fields.gang),
    sameRack: reader.readBoolean(`${place}.sameRack`, fields.sameRack),
    speculative: reader.readBoolean(`${place}.speculative`, fields.speculative),
    lasting: reader.readBoolean(`${place}.lasting`, fields.lasting),
    fills: reader.readBoolean(`${place}.fills`, fields.fills),
    ...(label !== undefined && {label}),
    ...(rack !== undefined && {rack}),
    ...(image !== undefined && {image}),
    ...(spreadLimit > 0 && {spreadLimit}),
    ...(tailTargetMs > 0 && {tailTargetMs}),
    ...(maxUnavailable > 0 && {maxUnavailable}),
  };
}

function readNeed(reader: DraftReader, place: string, value: unknown): Resources {
  const fields = isRecord(value) ? value : {};
  return {
    processors: reader.readNumber(`${place}.processors`, fields.processors, 1e6),
    memoryMb: reader.readNumber(`${place}.memoryMb`, fields.memoryMb, 1e9),
    accelerators: reader.readNumber(`${place}.accelerators`, fields.accelerators, 1e6),
    slots: 0,
  };
}

function readAfter(
  reader: DraftReader,
  place: string,
  value: unknown,
  index: number,
): readonly number[] {
  if (value === undefined || value === null) return [];
  if (Array.isArray(value) && value.every(step => Number.isInteger(step) && step >= 0)) {
    const after = value as number[];
    if (after.every(step => step < index)) return after;
  }
  reader.reject(place, value, `numbers of steps below ${index}`);
  return [];
}
