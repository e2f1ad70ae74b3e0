import {type AddressInfo, createServer} from 'node:net';
import t from 'tap';
import {allocatePorts} from '../../src/process/index.js';

/** First port that the kernel assigns to outgoing connections on Linux by default. */
const firstEphemeralPort = 32_768;

void t.test('concurrent allocations get different ports below the ephemeral range', async t => {
  // The demonstration starts two deployments at once; the ports of one were taken by connections of the other.
  const allocations = await Promise.all(Array.from({length: 8}, () => allocatePorts(20)));
  const ports = allocations.flat();
  t.equal(new Set(ports).size, ports.length, 'no port twice');
  t.ok(
    ports.every(port => port < firstEphemeralPort),
    'no outgoing connection can take one',
  );
});

void t.test('a port in use is not allocated', async t => {
  const [port = 0] = await allocatePorts(1);
  const server = createServer();
  await new Promise<void>(resolve => server.listen(port + 1, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const ports = await allocatePorts(2);
  t.notOk(ports.includes((server.address() as AddressInfo).port));
});
