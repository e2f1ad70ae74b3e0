import type {AgentProcessEvent} from '@chervilbeam/coordination';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import t from 'tap';
import {WorkerClient} from '../../src/worker/index.js';

for (const body of ['null', '[]', '5', '"text"', '{']) {
  void t.test(`a worker that answers ${body} has not answered`, async t => {
    const server = createServer((_, response) => response.end(body));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const events: AgentProcessEvent[] = [];
    const client = new WorkerClient(`http://127.0.0.1:${port}`, event => void events.push(event));
    t.teardown(async () => {
      await client.stop();
      server.close();
    });
    t.equal(await client.getState(), undefined);
    await client.readUsage();
    t.same(events, []);
    await client.call({
      kind: 'worker-call',
      task: 'task',
      attempt: 1,
      action: 'renew',
      term: 1,
      leaseMs: 1_000,
    } as Parameters<WorkerClient['call']>[0]);
    t.match(events, [{kind: 'worker-result', ok: false, detail: 'no-answer'}]);
  });
}
