import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Settings} from '@chervilbeam/runtime';
import {fetch} from 'undici';
import {ManagedProcess} from './managed-process.js';
import {waitUntil} from './wait-until.js';

const daemonModule = fileURLToPath(
  new URL('./main.js', import.meta.resolve('@chervilbeam/runtime')),
);

/** Status of a process, as its control port returns it. */
export interface DaemonStatus {
  /** Configuration version that the process applies. */
  readonly version: number;
  /** The process itself and the processes connected to it. */
  readonly processes: ReadonlyArray<{readonly name: string; readonly role: string}>;
}

/** A `chervilbeamd` process with its own settings file, in a temporary directory that is removed when the process ends. */
export class DaemonProcess {
  /** The operating system's process. */
  readonly process: ManagedProcess;
  private readonly directory: string;

  /** Starts the daemon; `onErrorLine` receives each line of its standard error. */
  constructor(
    readonly settings: Settings,
    onErrorLine?: (line: string) => void,
  ) {
    this.directory = mkdtempSync(join(tmpdir(), 'chervilbeam-'));
    const file = join(this.directory, 'settings.json');
    writeFileSync(file, JSON.stringify(settings));
    this.process = new ManagedProcess({
      name: settings.name,
      module: daemonModule,
      arguments: ['--settings', file],
      ...(onErrorLine && {onErrorLine}),
    });
    void this.process.exited.then(() => rmSync(this.directory, {recursive: true, force: true}));
  }

  /** Returns the status, or undefined while the process does not answer. */
  async getStatus(): Promise<DaemonStatus | undefined> {
    return (await this.get('/v1/status')) as DaemonStatus | undefined;
  }

  /** Returns the JSON answer of the control port, or undefined when the call fails or its status is not 2xx. */
  async get(path: string): Promise<unknown> {
    try {
      const response = await fetch(`http://${this.settings.listen.control}${path}`);
      return response.ok ? await response.json() : undefined;
    } catch {
      return undefined;
    }
  }

  /** Waits until the process is connected to at least `count` others. Throws when the process ends, or after 15 s. */
  async waitForPeers(count: number): Promise<void> {
    const {name} = this.settings;
    await waitUntil(`${count} peers of ${name}`, async () => {
      if (!this.process.isRunning) throw new Error(`${name} has ended`);
      return ((await this.getStatus())?.processes.length ?? 0) > count;
    });
  }

  /** Sends SIGTERM and returns the exit status, or the name of the signal that ended the process. */
  async stop(): Promise<number | string> {
    this.process.signal('SIGTERM');
    return this.process.exited;
  }
}
