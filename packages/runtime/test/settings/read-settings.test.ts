import t from 'tap';
import {formatFinding, parseSettings} from '../../src/settings/index.js';

const entry = {
  role: 'entry',
  deployment: 'kastanjebrent',
  name: 'entry-1',
  region: 'vestland',
  dataCentre: 'vestland-a',
  listen: {callers: '127.0.0.1:80', peers: '127.0.0.1:81', control: '127.0.0.1:82'},
  seeds: ['127.0.0.1:91'],
};
const agent = {...entry, role: 'agent', listen: {control: '127.0.0.1:82'}, rack: 'r1'};

const cases = [
  {name: 'a valid entry', value: entry, places: []},
  {name: 'a valid agent', value: agent, places: []},
  {name: 'a misspelt field', value: {...entry, sedes: []}, places: ['sedes']},
  {name: 'a value of another type', value: {...entry, name: 5}, places: ['name']},
  {name: 'a host name for an address', value: {...entry, seeds: ['a:1']}, places: ['seeds[0]']},
  {name: 'a worker at an entry', value: {...entry, worker: 'http://1.1.1.1:1'}, places: ['worker']},
  {
    name: 'an entry without listening addresses',
    value: {...agent, role: 'entry', rack: undefined},
    places: ['listen.callers', 'listen.peers'],
  },
  {
    name: 'several mistakes at once',
    value: {role: 'x', listen: {control: 1}, seeds: 'a'},
    places: ['deployment', 'name', 'region', 'dataCentre', 'role', 'listen.control', 'seeds'],
  },
  {
    name: 'an inherited name as a field',
    value: {...entry, constructor: 1},
    places: ['constructor'],
  },
  {name: 'an array instead of an object', value: [], places: ['']},
];

void t.test(
  'all mistakes in a settings file are reported at once, each with its place',
  async t => {
    for (const {name, value, places} of cases) {
      const result = parseSettings(JSON.stringify(value), 'settings.json');
      const found = result.isErr() ? result.error.map(finding => finding.place) : [];
      t.strictSame(found, places, name);
    }
  },
);

void t.test('text that is not JSON is reported with its file', async t => {
  const result = parseSettings('{', 'settings.json');
  t.match(result.isErr() && result.error, [{source: 'settings.json', allowed: 'JSON'}]);
});

void t.test('a finding names file, path, value and what is allowed', async t => {
  const result = parseSettings(JSON.stringify({...entry, settleMs: -1}), 'e.json');
  const lines = result.isErr() ? result.error.map(formatFinding) : [];
  t.strictSame(lines, ['e.json: settleMs: -1 is not allowed; allowed: integer from 0 to 60000']);
});
