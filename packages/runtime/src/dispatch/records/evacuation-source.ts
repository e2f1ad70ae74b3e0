import type {EvacuationSet} from '@chervilbeam/coordination';

/** Where the platform keeps which data centres are evacuated. */
export interface EvacuationSource {
  /** Reads the present set from the store; undefined when the read fails. */
  read(): Promise<EvacuationSet | undefined>;
}
