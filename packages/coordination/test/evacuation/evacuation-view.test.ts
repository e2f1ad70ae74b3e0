import t from 'tap';
import {type EvacuationSet, EvacuationView} from '../../src/evacuation/index.js';

const set = (revision: number, ...dataCentres: string[]): EvacuationSet => ({
  revision,
  dataCentres,
});

// Sets arrive from the store, from peers and from successive owners in any order. A late one must not take an evacuation
// back, and a process must not go on with an evacuation that has been taken back.
const cases: ReadonlyArray<{
  readonly name: string;
  readonly sets: readonly EvacuationSet[];
  readonly updates: readonly string[];
  readonly evacuated: readonly string[];
}> = [
  {name: 'nothing is evacuated at first', sets: [], updates: [], evacuated: []},
  {
    name: 'a set read from a store that has never been written is not known to be newer',
    sets: [set(0)],
    updates: ['older'],
    evacuated: [],
  },
  {
    name: 'an older set after a newer one is ignored',
    sets: [set(9, 'a'), set(7)],
    updates: ['changed', 'older'],
    evacuated: ['a'],
  },
  {
    name: 'an older evacuation after it was taken back is ignored',
    sets: [set(9), set(7, 'a')],
    updates: ['same', 'older'],
    evacuated: [],
  },
  {
    name: 'a repeated set changes nothing',
    sets: [set(9, 'a'), set(9, 'a')],
    updates: ['changed', 'older'],
    evacuated: ['a'],
  },
  {
    name: 'two data centres are evacuated one after the other',
    sets: [set(3, 'a'), set(5, 'a', 'b')],
    updates: ['changed', 'changed'],
    evacuated: ['a', 'b'],
  },
  {
    name: 'a data centre is taken back and evacuated again',
    sets: [set(3, 'a'), set(5), set(6, 'a')],
    updates: ['changed', 'changed', 'changed'],
    evacuated: ['a'],
  },
  {
    name: 'a newer list with the same names is newer, so that no set from in between is accepted',
    sets: [set(3, 'a', 'b'), set(8, 'b', 'a'), set(5)],
    updates: ['changed', 'same', 'older'],
    evacuated: ['a', 'b'],
  },
];

for (const {name, sets, updates, evacuated} of cases) {
  void t.test(name, async t => {
    const view = new EvacuationView();
    t.same(
      sets.map(each => view.update(each)),
      updates,
    );
    t.same(
      ['a', 'b', 'c'].filter(each => view.has(each)),
      evacuated,
    );
    t.equal(view.isEmpty, evacuated.length === 0);
  });
}
