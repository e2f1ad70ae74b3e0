/** The evacuated data centres as of a revision of the store; nothing may be started on their workers. */
export interface EvacuationSet {
  /** Revision of the store that the set reflects; 0 when nothing has been read. */
  readonly revision: number;
  readonly dataCentres: readonly string[];
}

/** The set of a process that has not received any. */
export const unknownEvacuations: EvacuationSet = {revision: 0, dataCentres: []};

/** Whether two sets name the same data centres. */
export function haveSameDataCentres(a: EvacuationSet, b: EvacuationSet): boolean {
  const names = new Set(a.dataCentres);
  return names.size === new Set(b.dataCentres).size && b.dataCentres.every(name => names.has(name));
}
