import t from 'tap';
import {QueueIndex} from '../../src/submissions/index.js';
import {createQueue} from '../dispatch/fleet/virtual-fleet.js';

const index = new QueueIndex([
  createQueue({name: 'all', host: 'a.example', prefix: '/'}),
  createQueue({name: 'proofs', host: 'a.example', prefix: '/proofs/'}),
  createQueue({name: 'urgent', host: 'a.example', prefix: '/proofs/urgent/'}),
  createQueue({name: 'other', host: 'b.example', prefix: '/proofs/'}),
]);

const cases = [
  {host: 'a.example', path: '/proofs/1', queue: 'proofs'},
  {host: 'a.example', path: '/proofs/urgent/1', queue: 'urgent'},
  {host: 'a.example', path: '/checks/1', queue: 'all'},
  {host: 'b.example', path: '/proofs/1', queue: 'other'},
  {host: 'b.example', path: '/checks/1', queue: undefined},
  {host: 'c.example', path: '/proofs/1', queue: undefined},
] as const;

for (const {host, path, queue} of cases) {
  void t.test(
    `${host}${path} maps to the queue with the longest matching prefix, if any`,
    async t => {
      t.equal(index.getQueue(host, path)?.name, queue);
    },
  );
}
