import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearInterval, clearTimeout, setInterval, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {readJson, sendJson, serveHttp} from './http.mjs';

const pageItems = 500;
const maxEntries = 32;

/** Stand-in of the platform's key-value store, as PROTOCOL.md describes it. It loses no acknowledged write. */
export class Store {
  /** Revision of the latest change. */
  revision = 1;
  #items = new Map();
  #history = [];
  #leases = new Map();
  #nextLease = 1;
  #watchers = new Set();
  #timer;
  #server;

  /** Listens on `ip:port`. */
  async start(address) {
    this.#server = await serveHttp(address, (request, response) => this.#serve(request, response));
    this.#timer = setInterval(() => this.#expireLeases(), 20);
  }

  /** Closes all connections. */
  stop() {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a key as the operator does; the answer to the operator is the return. */
  put(key, value) {
    this.revision += 1;
    this.#set(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#wake();
  }

  /** Returns the parsed value of a key, or undefined. */
  get(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , call, id] = url.pathname.split('/');
    const body = await readJson(request);
    if (call === 'kv-watch') return this.#watch(url.searchParams, response);
    const [status, answer] = this.#execute(call, id, url.searchParams, body);
    sendJson(response, status, answer);
  }

  #execute(call, id, query, body) {
    switch (call) {
      case 'kv-key': {
        const item = this.#items.get(query.get('key'));
        return [item ? 200 : 404, {...item, store_revision: this.revision}];
      }
      case 'kv-range':
        return [200, this.#list(query.get('prefix') ?? '', query.get('after') ?? '')];
      case 'kv-txn':
        return this.#commit(body);
      case 'kv-lease': {
        const lease = this.#nextLease++;
        this.#leases.set(lease, {ttl: body.ttl_ms, until: performance.now() + body.ttl_ms});
        return [200, {lease, ttl_ms: body.ttl_ms}];
      }
      case 'kv-keep': {
        const lease = this.#leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        lease.until = performance.now() + lease.ttl;
        return [200, {ttl_ms: lease.ttl}];
      }
      case 'kv-lease-end':
        this.#endLease(Number(id));
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  #list(prefix, after) {
    const matching = [...this.#items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = matching.slice(0, pageItems);
    return {items, has_more: matching.length > items.length, store_revision: this.revision};
  }

  #commit({precondition = [], set_keys: writes = [], remove = []}) {
    if (precondition.length + writes.length + remove.length > maxEntries) return [400, {}];
    if (writes.some(({key}) => /^(op|servers)\//.test(key))) return [403, {}];
    if (writes.some(({lease}) => lease && !this.#leases.has(lease))) return [404, {}];
    const isMet = ({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision;
    if (!precondition.every(isMet)) {
      return [412, {items: precondition.flatMap(({key}) => this.#items.get(key) ?? [])}];
    }
    this.revision += 1;
    for (const {key, value, lease} of writes) this.#set(key, value, lease ?? 0);
    for (const key of remove) this.#remove(key);
    this.#wake();
    return [200, {revision: this.revision}];
  }

  #set(key, value, lease) {
    const {revision} = this;
    const created = this.#items.get(key)?.created ?? revision;
    const item = {key, value, revision, created, lease};
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #remove(key) {
    if (this.#items.delete(key)) this.#history.push({key, revision: this.revision, deleted: true});
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return;
    this.revision += 1;
    for (const {key, lease} of [...this.#items.values()]) if (lease === id) this.#remove(key);
    this.#wake();
  }

  #expireLeases() {
    const now = performance.now();
    for (const [id, {until}] of [...this.#leases]) if (now > until) this.#endLease(id);
  }

  #watch(query, response) {
    const watcher = {
      prefix: query.get('prefix') ?? '',
      after: Number(query.get('after')),
      answer: () => {
        clearTimeout(timer);
        this.#watchers.delete(watcher);
        sendJson(response, 200, {events: this.#events(watcher), store_revision: this.revision});
      },
    };
    const timer = setTimeout(watcher.answer, Number(query.get('wait_ms')));
    response.on('close', () => {
      clearTimeout(timer);
      this.#watchers.delete(watcher);
    });
    this.#watchers.add(watcher);
    this.#wake();
  }

  #events({prefix, after}) {
    return this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
  }

  #wake() {
    for (const watcher of [...this.#watchers])
      if (this.#events(watcher).length > 0) watcher.answer();
  }
}
