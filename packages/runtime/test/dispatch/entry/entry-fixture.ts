import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import type {Test} from 'tap';
import {EntryNode, type EvacuationSource} from '../../../src/dispatch/index.js';
import {SystemClock} from '../../../src/loop/index.js';
import {Metrics} from '../../../src/metrics/index.js';
import type {MemoryStore} from '../records/memory-store.js';
import {createTestLog} from '../test-log.js';

/** Returns an address on loopback whose port is free. */
export async function getFreeAddress(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
}

/** Starts an entry that listens on a free address, with an evacuation source or without evacuations. */
export async function startEntry(
  t: Test,
  name: string,
  store: MemoryStore,
  source?: EvacuationSource,
) {
  const address = await getFreeAddress();
  const node = new EntryNode({
    name,
    address,
    processors: 1,
    incarnation: name,
    store,
    clock: new SystemClock(),
    log: createTestLog().log,
    metrics: new Metrics(),
    ...(source && {evacuations: source}),
  });
  t.teardown(async () => {
    await node.drain();
    node.stop();
  });
  await node.start();
  return {node, address};
}
