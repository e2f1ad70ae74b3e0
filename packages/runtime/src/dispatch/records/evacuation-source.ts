import type {EvacuationSet} from '@chervilbeam/coordination';

/** Delay in milliseconds before a failed read is repeated. */
const readRetryDelayMs = 200;

/** Where the platform keeps which data centres are evacuated. */
export interface EvacuationSource {
  /** Reads the present set from the store; undefined when the read fails. */
  read(): Promise<EvacuationSet | undefined>;
}

/** Reads the evacuated data centres, retrying on failure; undefined once `shouldContinue` returns false. */
export async function readEvacuations(
  source: EvacuationSource,
  shouldContinue: () => boolean,
): Promise<EvacuationSet | undefined> {
  while (shouldContinue()) {
    const set = await source.read();
    if (set !== undefined) return set;
    await new Promise(resolve => setTimeout(resolve, readRetryDelayMs));
  }
  return undefined;
}
