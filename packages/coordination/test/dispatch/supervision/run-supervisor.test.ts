import t from 'tap';
import {CrashingFleet, queue} from '../fleet/crashing-fleet.js';
import {createStep, createSubmission} from '../fleet/shared-load.js';

const id = '00000000000000b3';

void t.test(
  'a run is not stopped for lack of progress before its worker has listed it after a reconnect',
  async t => {
    const fleet = new CrashingFleet({workerCount: 1});
    fleet.submit(createSubmission(id, queue.key, [createStep({estimatedMs: 9_000})]));
    fleet.run(3_000);
    const worker = fleet.workers.get('w0');
    if (worker === undefined) throw new Error('no worker');
    fleet.post({kind: 'agent-down', agent: 'w0'});
    fleet.silences.set('w0', 'both');
    fleet.run(5_200);
    fleet.post({kind: 'agent-up', agent: 'w0'});
    const message = {kind: 'worker', worker: worker.describe()} as const;
    fleet.post({kind: 'message', agent: 'w0', message});
    fleet.run(5_800);
    fleet.silences.delete('w0');
    fleet.connect(worker);
    fleet.run(20_000);
    t.equal(fleet.countStarts(`${id}.0.0.0`), 1);
    t.equal(fleet.progress.get(id)?.final, 'completed');
  },
);
