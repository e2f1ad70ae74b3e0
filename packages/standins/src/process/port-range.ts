import {createServer} from 'node:net';

/** Range below the ephemeral ports, which the kernel assigns to outgoing connections. */
const firstPort = 11_000;
const lastPort = 30_000;

/** Distance between the first ports of two processes with consecutive ids, so that their ports do not overlap. */
const portsPerProcess = 211;

let lastCheckedPort = firstPort + ((process.pid * portsPerProcess) % (lastPort - firstPort));

/**
 * Returns free loopback ports, none of them twice in one process. No outgoing connection can occupy one before it is
 * bound. Throws a RangeError when fewer than `count` ports of the range are free.
 */
export async function allocatePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let checked = 0; ports.length < count; checked += 1) {
    if (checked > lastPort - firstPort) {
      throw new RangeError(`fewer than ${count} free ports from ${firstPort} to ${lastPort}`);
    }
    lastCheckedPort = lastCheckedPort >= lastPort ? firstPort : lastCheckedPort + 1;
    const port = lastCheckedPort;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
