import type {EvacuationSet} from '../../evacuation/index.js';
import type {DispatchState} from '../dispatch-state.js';

/**
 * Uses a set of evacuated data centres and passes it on to all agents, unless a newer one is known. A newer set with the
 * same data centres is passed on as well: an agent that keeps an older revision would accept a set from in between.
 */
export function updateEvacuations(state: DispatchState, set: EvacuationSet): void {
  const update = state.evacuations.update(set);
  if (update === 'older') return;
  const {revision, dataCentres} = set;
  if (state.term > 0) {
    state.emit({kind: 'broadcast', message: {kind: 'evacuations', revision, dataCentres}});
  }
  if (update === 'same') return;
  // Workers of a data centre that has been taken back get work at once.
  state.requestPlacement();
  state.log({event: 'evacuation-changed', revision, dataCentres: dataCentres.join(',')});
  state.count('evacuation_changes');
}
