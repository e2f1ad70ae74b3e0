import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setInterval, clearInterval, setTimeout} from 'node:timers';
import {Buffer} from 'node:buffer';
import {URL} from 'node:url';

/** Items in one page of a list. */
const pageItems = 500;
/** Entries in one transaction. */
const maxEntries = 32;
const expiryIntervalMs = 50;

/**
 * The platform's store, in memory. Each machine calls it at an address of its own, so that the store can turn single
 * machines away: mode `busy` answers 503 and does nothing.
 */
export class Store {
  items = new Map();
  leases = new Map();
  modes = new Map();
  watchers = new Set();
  history = [];
  servers = [];
  revision = 1;
  nextLease = 1;

  constructor() {
    this.timer = setInterval(() => this.expireLeases(), expiryIntervalMs);
  }

  /** Listens for the calls of one machine. */
  async listen(machine, host, port) {
    const server = createServer((request, response) => this.serve(machine, request, response));
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.servers.push(server);
  }

  setMode(machine, mode) {
    this.modes.set(machine, mode);
  }

  /** Writes a key as the operator does. */
  put(key, value) {
    this.revision += 1;
    this.setItem(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.notify();
  }

  /** Returns the decoded JSON value of a key, or undefined. */
  get(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  async serve(machine, request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const url = new URL(request.url, 'http://store');
    const answer = (status, value) => {
      if (response.headersSent) return;
      const bytes = JSON.stringify(value);
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(bytes);
    };
    if (this.modes.get(machine) === 'busy') return answer(503, {});
    const path = url.pathname.replace('/chervilbeam/', '');
    const query = url.searchParams;
    if (path === 'kv-watch') return this.watch(query, answer);
    const [status, value] = this.execute(request.method, path, query, body);
    answer(status, value);
  }

  execute(method, path, query, body) {
    if (path === 'kv-key') {
      const item = this.items.get(query.get('key'));
      return [item ? 200 : 404, {...item, store_revision: this.revision}];
    }
    if (path === 'kv-range') return this.list(query.get('prefix') ?? '', query.get('after') ?? '');
    if (path === 'kv-txn') return this.commit(body);
    if (path === 'kv-lease') {
      const lease = this.nextLease++;
      const ttl_ms = Math.max(1_000, Number(body.ttl_ms));
      this.leases.set(lease, {ttl_ms, endsAt: performance.now() + ttl_ms});
      return [200, {lease, ttl_ms}];
    }
    const id = Number(path.slice(path.indexOf('/') + 1));
    const lease = this.leases.get(id);
    if (lease === undefined) return [404, {}];
    if (method === 'POST' && path.startsWith('kv-keep/')) {
      lease.endsAt = performance.now() + lease.ttl_ms;
      return [200, {ttl_ms: lease.ttl_ms}];
    }
    this.endLease(id);
    return [200, {}];
  }

  list(prefix, after) {
    const matching = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = matching.slice(0, pageItems);
    const has_more = matching.length > items.length;
    return [200, {items, has_more, store_revision: this.revision}];
  }

  watch(query, answer) {
    const watcher = {prefix: query.get('prefix') ?? '', after: Number(query.get('after')), answer};
    watcher.timer = setTimeout(() => this.answerWatcher(watcher), Number(query.get('wait_ms')));
    this.watchers.add(watcher);
    this.notify();
  }

  getEvents({prefix, after}) {
    return this.history.filter(event => event.revision > after && event.key.startsWith(prefix));
  }

  answerWatcher(watcher) {
    clearTimeout(watcher.timer);
    this.watchers.delete(watcher);
    watcher.answer(200, {events: this.getEvents(watcher), store_revision: this.revision});
  }

  notify() {
    for (const watcher of [...this.watchers]) {
      if (this.getEvents(watcher).length > 0) this.answerWatcher(watcher);
    }
  }

  commit({precondition = [], set_keys = [], remove = []}) {
    if (precondition.length + set_keys.length + remove.length > maxEntries) return [400, {}];
    if (set_keys.some(({key}) => /^(op|servers)\//.test(key))) return [403, {}];
    if (set_keys.some(({lease}) => lease > 0 && !this.leases.has(lease))) return [404, {}];
    const isMet = precondition.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      return [412, {items: precondition.flatMap(({key}) => this.items.get(key) ?? [])}];
    }
    this.revision += 1;
    for (const {key, value, lease} of set_keys) this.setItem(key, value, lease ?? 0);
    for (const key of remove) this.removeItem(key);
    this.notify();
    return [200, {revision: this.revision}];
  }

  setItem(key, value, lease) {
    const {revision} = this;
    const created = this.items.get(key)?.created ?? revision;
    const item = {key, value, revision, created, lease};
    this.items.set(key, item);
    this.history.push(item);
  }

  removeItem(key) {
    if (this.items.delete(key)) this.history.push({key, revision: this.revision, deleted: true});
  }

  endLease(id) {
    this.leases.delete(id);
    this.revision += 1;
    for (const item of [...this.items.values()]) if (item.lease === id) this.removeItem(item.key);
    this.notify();
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, {endsAt}] of [...this.leases]) if (now > endsAt) this.endLease(id);
  }
}
