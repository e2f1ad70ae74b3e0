import {createServer} from 'node:net';
import process from 'node:process';

/** Ports below those that the kernel gives to outgoing connections, which could take a port before its process does. */
const lowestPort = 11_000;
/** Each process has a range of its own, so that two cases at once do not find the same port free. */
const rangeSize = 200;
const ranges = 100;

let nextPort = lowestPort + (process.pid % ranges) * rangeSize;

/** Returns free ports of the loopback address. */
export async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
