import {isRecord} from '../../findings/object-reader.js';
import type {Config} from '../../messages/control.js';
import type {Configuration, ConfigurationChange} from '../document.js';
import type {ChangeLog} from './change-log.js';
import {isChange} from './head.js';
import {getJsonBytes, joinSnapshot, splitSnapshot} from './snapshot.js';

/** Changes up to this size travel in one message; a frame takes 64 KiB. */
const singleMessageBytes = 40 * 1024;

/** Characters of one text part; at most three bytes each in UTF-8, so a part fits a frame. */
const partCharacters = 16 * 1024;

/** Share of a configuration, or of changes, that is too large for one frame. */
interface TransferPart {
  readonly version: number;
  readonly part: number;
  readonly parts: number;
  readonly text: string;
}

/** What a peer sent, once it is complete. */
export type Transfer =
  | {readonly kind: 'changes'; readonly changes: readonly ConfigurationChange[]}
  | {readonly kind: 'configuration'; readonly configuration: Configuration};

/** Returns the messages that bring a peer from version `after` to the version in force here. */
export function buildTransfer(log: ChangeLog, after: number): Config[] {
  const changes = log.getChangesAfter(after);
  if (changes && getJsonBytes(changes) <= singleMessageBytes) {
    return [{kind: 'config', from: Math.min(after, log.version), changes}];
  }
  const content = changes
    ? {changes}
    : {snapshot: splitSnapshot(log.configuration, Number.POSITIVE_INFINITY)[0]};
  const text = JSON.stringify(content);
  const parts = Math.ceil(text.length / partCharacters);
  return Array.from({length: parts}, (_, part) => {
    const start = part * partCharacters;
    const slice = text.slice(start, start + partCharacters);
    const snapshot: TransferPart = {version: log.version, part, parts, text: slice};
    return {kind: 'config' as const, from: log.version, changes: [], snapshot};
  });
}

/** Joins the parts that one peer sends. */
export class TransferAssembler {
  #version = 0;
  #texts: string[] = [];

  /** Takes one part and returns the content when it was the last one; undefined when it is malformed or incomplete. */
  add(value: unknown): Transfer | undefined {
    if (!isTransferPart(value)) return undefined;
    if (value.part === 0) {
      this.#version = value.version;
      this.#texts = [];
    }
    if (value.version !== this.#version || value.part !== this.#texts.length) return undefined;
    this.#texts.push(value.text);
    if (this.#texts.length < value.parts) return undefined;
    const text = this.#texts.join('');
    this.#texts = [];
    return parseTransfer(text, value.version);
  }
}

function parseTransfer(text: string, version: number): Transfer | undefined {
  let content: unknown;
  try {
    content = JSON.parse(text);
  } catch {
    return undefined;
  }
  if (!isRecord(content)) return undefined;
  if (Array.isArray(content.changes) && content.changes.every(isChange)) {
    return {kind: 'changes', changes: content.changes};
  }
  const configuration = joinSnapshot(version, [content.snapshot]);
  return configuration && {kind: 'configuration', configuration};
}

function isTransferPart(value: unknown): value is TransferPart {
  return (
    isRecord(value) &&
    typeof value.version === 'number' &&
    typeof value.part === 'number' &&
    typeof value.parts === 'number' &&
    typeof value.text === 'string'
  );
}
