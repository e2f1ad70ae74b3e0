import {type EvacuationSet, haveSameDataCentres, unknownEvacuations} from './evacuation-set.js';

/**
 * Result of offering a set to a view. `older`: the view keeps its set; `same`: the set is newer but names the same data
 * centres; `changed`: it names others.
 */
export type EvacuationUpdate = 'older' | 'same' | 'changed';

/**
 * The newest set of evacuated data centres that a process has received. Sets arrive from several sources in any order:
 * from the store, from other entries and from successive owners. The one with the highest revision is kept, so a late
 * message never takes an evacuation back.
 */
export class EvacuationView {
  private set = unknownEvacuations;
  private names: ReadonlySet<string> = new Set();

  /** The newest set; its revision is 0 when none has been received. */
  get current(): EvacuationSet {
    return this.set;
  }

  /** Whether any data centre is evacuated. */
  get isEmpty(): boolean {
    return this.names.size === 0;
  }

  /** Whether a data centre is evacuated. */
  has(dataCentre: string): boolean {
    return this.names.has(dataCentre);
  }

  /** Keeps a set that is newer than the present one. */
  update(set: EvacuationSet): EvacuationUpdate {
    if (set.revision <= this.set.revision) return 'older';
    const isSame = haveSameDataCentres(this.set, set);
    this.set = set;
    this.names = new Set(set.dataCentres);
    return isSame ? 'same' : 'changed';
  }
}
