import {connect, createServer} from 'node:net';
import {splitAddress} from './http.mjs';

/**
 * Loopback proxy in front of one address. Open connections can go silent: nothing is passed on any more, in either direction,
 * and neither side is told. New connections work.
 */
export class Proxy {
  #connections = new Set();
  #server;

  constructor(target) {
    this.target = target;
  }

  /** Listens on `ip:port`. */
  async start(address) {
    this.#server = createServer({allowHalfOpen: true}, client => this.#accept(client));
    const {host, port} = splitAddress(address);
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Silences the open connections that `select` names; returns their number. */
  silence(select = () => true) {
    let count = 0;
    for (const connection of this.#connections) {
      if (connection.isSilent || !select(connection)) continue;
      connection.isSilent = true;
      count += 1;
    }
    return count;
  }

  /** Closes everything. */
  stop() {
    for (const {client, upstream} of this.#connections) {
      client.destroy();
      upstream.destroy();
    }
    this.#server.close();
  }

  #accept(client) {
    const upstream = connect({...splitAddress(this.target), allowHalfOpen: true});
    const connection = {client, upstream, first: '', latest: '', isSilent: false};
    this.#connections.add(connection);
    client.on('data', bytes => {
      connection.latest = bytes.toString('latin1');
      connection.first ||= connection.latest;
    });
    this.#forward(connection, client, upstream);
    this.#forward(connection, upstream, client);
  }

  #forward(connection, from, to) {
    from.setNoDelay(true);
    from.on('data', bytes => {
      if (!connection.isSilent) to.write(bytes);
    });
    from.on('end', () => {
      if (!connection.isSilent) to.end();
    });
    from.on('error', () => {});
    from.on('close', () => {
      this.#connections.delete(connection);
      // The other side of a silent connection learns nothing, as behind a lost route.
      if (!connection.isSilent) to.destroy();
    });
  }
}
