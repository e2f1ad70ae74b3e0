#!/usr/bin/env node
import {StoreServer} from './store-server.js';

// Runs the store stand-in. The first argument is the address to listen on, `ip:port`; by default a free loopback port
// is chosen. The origin is printed as a line of JSON: `{"store": "http://ip:port"}`.
const [host = '127.0.0.1', port = '0'] = (process.argv[2] ?? '127.0.0.1:0').split(':');
const server = new StoreServer({host, port: Number(port)});
console.log(JSON.stringify({store: await server.listen()}));

// SIGUSR2 toggles an outage. SIGUSR1 is not available: Node.js starts its debugger on it.
process.on('SIGUSR2', () => {
  server.setFaults({outage: server.faults.outage === 'none' ? 'refuse' : 'none'});
});
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    void server.close().then(() => process.exit(0));
  });
}
