#!/usr/bin/env node
import {writeSync} from 'node:fs';
import {Announcer} from './announcer.js';
import {BackendServer} from './backend-server.js';
import {noFailures} from './failure-modes.js';
import {EventRecorder} from './event-recorder.js';
import {TaskTable} from './task-table.js';
import {WorkerApi} from './worker-api.js';
import {workerDefaults, type WorkerSettings} from './worker-settings.js';

// Runs a stand-in for a worker and its backend server. The first argument is a `WorkerSettings` object as JSON. The
// events are written to standard output as JSON lines.
const tickIntervalMs = 50;

const settings = {
  ...workerDefaults,
  ...(JSON.parse(process.argv[2] ?? '{}') as object),
} as WorkerSettings;
const failures = {...noFailures};
// Written synchronously, so that no recorded event is lost when the process is killed.
const recorder = new EventRecorder(line => void writeSync(1, line));
const table = new TaskTable(settings, failures, recorder);
const api = new WorkerApi(table, failures);
const backend = new BackendServer(settings, failures, recorder);
const announcer = new Announcer(settings, `http://${settings.backendListen}`, failures);

await api.start(settings.workerListen);
await backend.start(settings.backendListen);
recorder.record('host-capacity', {host: settings.name, capacity: settings.capacity});
announcer.start();
const timer = setInterval(() => table.tick(performance.now()), tickIntervalMs);

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    clearInterval(timer);
    announcer.stop();
    void Promise.all([api.stop(), backend.stop()]).then(() => process.exit(0));
  });
}
