import {type ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';

const running = new Set<ChildProcess>();
let isExitHandlerAdded = false;
/** Folder for the CPU profiles of all started processes; none are recorded when it is not set. */
const profileFolder = process.env.CHERVILBEAM_PROFILE_FOLDER;
const profileArguments = profileFolder ? ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`] : [];

/** Options of one process of a test or a demonstration. */
export interface ManagedProcessOptions {
  readonly name: string;
  /** Module to run with Node.js. */
  readonly module: string;
  readonly arguments: readonly string[];
  /** Arguments for Node.js itself, before the module. */
  readonly nodeArguments?: readonly string[];
  /** Environment variables in addition to those of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Called with each line of standard output; without it the output is discarded. */
  readonly onLine?: (line: string) => void;
  /** Called with each line of standard error; without it the output is discarded. */
  readonly onErrorLine?: (line: string) => void;
}

/** A child process of a test or demonstration. It is killed when the parent process exits. */
export class ManagedProcess {
  /** Resolves with the exit status, or the name of the signal that ended the process. */
  readonly exited: Promise<number | string>;
  private readonly child: ChildProcess;

  /** Starts the process. */
  constructor(options: ManagedProcessOptions) {
    addExitHandler();
    const {onLine, onErrorLine} = options;
    const nodeArguments = [...profileArguments, ...(options.nodeArguments ?? [])];
    this.child = spawn(process.execPath, [...nodeArguments, options.module, ...options.arguments], {
      env: {...process.env, ...options.environment},
      stdio: ['ignore', onLine ? 'pipe' : 'ignore', onErrorLine ? 'pipe' : 'ignore'],
    });
    const {child} = this;
    running.add(child);
    if (onLine && child.stdout) createInterface(child.stdout).on('line', onLine);
    if (onErrorLine && child.stderr) createInterface(child.stderr).on('line', onErrorLine);
    this.exited = new Promise(resolve => {
      // `close` is emitted after `exit`, once all output has been read.
      child.once('close', (status, signal) => {
        running.delete(child);
        resolve(signal ?? status ?? 0);
      });
    });
  }

  /** Whether the process still runs, or has ended with output that is not yet read. */
  get isRunning(): boolean {
    return running.has(this.child);
  }

  /** Process id; undefined when the process could not be started. */
  get id(): number | undefined {
    return this.child.pid;
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }
}

/** Number of started processes that have not ended. */
export function getRunningProcessCount(): number {
  return running.size;
}

function addExitHandler(): void {
  if (isExitHandlerAdded) return;
  isExitHandlerAdded = true;
  process.on('exit', () => {
    for (const child of running) child.kill('SIGKILL');
  });
}
