import type {Configuration, ConfigurationChange} from '../document.js';
import {applyChanges, emptyConfiguration} from '../operations.js';

/** Changes that each process keeps to serve peers that are behind. */
const maxKeptChanges = 128;

/** What came of offering changes to the log. */
export type AdvanceResult = 'advanced' | 'known' | 'gap' | 'fork';

/** The configuration in force here with its latest changes. It only moves to higher versions. */
export class ChangeLog {
  #configuration = emptyConfiguration;
  #changes: ConfigurationChange[] = [];

  /** The configuration in force here. */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** Version in force here; 0 when the configuration is not known. */
  get version(): number {
    return this.#configuration.version;
  }

  /** Applies the changes that are not yet known. */
  advance(changes: readonly ConfigurationChange[]): AdvanceResult {
    if (this.#isFork(changes)) return 'fork';
    const fresh = changes.filter(change => change.version > this.version);
    if (fresh.length === 0) return 'known';
    if (fresh[0]?.version !== this.version + 1) return 'gap';
    this.#configuration = applyChanges(this.#configuration, fresh);
    this.#changes.push(...fresh);
    if (this.#changes.length > maxKeptChanges) {
      this.#changes.splice(0, this.#changes.length - maxKeptChanges);
    }
    return 'advanced';
  }

  /** Adopts a whole configuration if it is newer. */
  adopt(configuration: Configuration): AdvanceResult {
    if (configuration.version <= this.version) return 'known';
    this.#configuration = configuration;
    this.#changes = [];
    return 'advanced';
  }

  /** Returns the changes after a version, or undefined when they are no longer kept. */
  getChangesAfter(version: number): readonly ConfigurationChange[] | undefined {
    if (version >= this.version) return [];
    const first = this.#changes[0]?.version;
    if (first === undefined || first > version + 1) return undefined;
    return this.#changes.slice(version + 1 - first);
  }

  /** Returns a kept change by its id. */
  getChange(changeId: string): ConfigurationChange | undefined {
    return this.#changes.find(change => change.changeId === changeId);
  }

  /** Tells whether another change is already in force at one of the versions. */
  #isFork(changes: readonly ConfigurationChange[]): boolean {
    const first = this.#changes[0]?.version;
    if (first === undefined) return false;
    return changes.some(change => {
      const kept = this.#changes[change.version - first];
      return kept !== undefined && kept.changeId !== change.changeId;
    });
  }
}
