import type {Configuration, ConfigurationChange} from '../document.js';
import {applyChanges, emptyConfiguration} from '../operations.js';

/** Number of latest changes that each process keeps to serve peers with older versions. */
const maxKeptChanges = 128;

/** Result of applying changes to the log. */
export type AdvanceResult = 'advanced' | 'known' | 'gap' | 'fork';

/** The configuration in force here and its latest changes. The version never decreases. */
export class ChangeLog {
  #configuration = emptyConfiguration;
  #changes: ConfigurationChange[] = [];

  /** The configuration in force here. */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** Version in force here; 0 while the configuration is not known. */
  get version(): number {
    return this.#configuration.version;
  }

  /**
   * Applies consecutive changes above the version in force. Returns `known` when none is above it, `fork` when another
   * change is already in force at one of the versions and `gap` when changes in between are missing; in these cases
   * nothing is applied.
   */
  advance(changes: readonly ConfigurationChange[]): AdvanceResult {
    if (this.#isFork(changes)) return 'fork';
    const newChanges = changes.filter(change => change.version > this.version);
    if (newChanges.length === 0) return 'known';
    if (newChanges[0]?.version !== this.version + 1) return 'gap';
    this.#configuration = applyChanges(this.#configuration, newChanges);
    this.#changes.push(...newChanges);
    if (this.#changes.length > maxKeptChanges) {
      this.#changes.splice(0, this.#changes.length - maxKeptChanges);
    }
    return 'advanced';
  }

  /** Replaces the configuration if the given one is newer; otherwise returns `known`. */
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

  /** Returns whether another change is already in force at one of the versions. */
  #isFork(changes: readonly ConfigurationChange[]): boolean {
    const first = this.#changes[0]?.version;
    if (first === undefined) return false;
    return changes.some(change => {
      const kept = this.#changes[change.version - first];
      return kept !== undefined && kept.changeId !== change.changeId;
    });
  }
}
