import {isRecord} from '../../findings/object-reader.js';
import type {Config} from '../../messages/control.js';
import type {Configuration, ConfigurationChange} from '../document.js';
import type {ChangeLog} from './change-log.js';
import {isChange} from './head.js';
import {getJsonBytes, joinSnapshot, splitSnapshot} from './snapshot.js';

/** Largest size of changes sent in a single message. A frame holds up to 64 KiB. */
const maxSingleMessageBytes = 40 * 1024;

/** Characters of one text part. Each takes at most three bytes in UTF-8, so a part fits in a frame. */
const charactersPerPart = 16 * 1024;

/** Part of a configuration, or of changes, that is too large for one frame. */
interface TransferPart {
  readonly version: number;
  readonly part: number;
  readonly parts: number;
  readonly text: string;
}

/** Complete content of a transfer from a peer. */
export type Transfer =
  | {readonly kind: 'changes'; readonly changes: readonly ConfigurationChange[]}
  | {readonly kind: 'configuration'; readonly configuration: Configuration};

/** Returns the messages that update a peer from version `after` to the version in force here. */
export function buildTransfer(log: ChangeLog, after: number): Config[] {
  const changes = log.getChangesAfter(after);
  if (changes && getJsonBytes(changes) <= maxSingleMessageBytes) {
    return [{kind: 'config', from: Math.min(after, log.version), changes}];
  }
  const content = changes
    ? {changes}
    : {snapshot: splitSnapshot(log.configuration, Number.POSITIVE_INFINITY)[0]};
  const text = JSON.stringify(content);
  const parts = Math.ceil(text.length / charactersPerPart);
  return Array.from({length: parts}, (_, part) => {
    const start = part * charactersPerPart;
    const slice = text.slice(start, start + charactersPerPart);
    const snapshot: TransferPart = {version: log.version, part, parts, text: slice};
    return {kind: 'config' as const, from: log.version, changes: [], snapshot};
  });
}

/** Reassembles the parts of the transfers from one peer. */
export class TransferAssembler {
  #version = 0;
  #texts: string[] = [];

  /**
   * Adds a part. Returns the content after the last part, or undefined while the transfer is incomplete or when the
   * part is malformed or out of order.
   */
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
