import {type ChildProcess, spawn} from 'node:child_process';
import {createInterface} from 'node:readline';

const running = new Set<ChildProcess>();
let exitHandlerAdded = false;
/** Folder for processor profiles of all started processes; none are taken without it. */
const profileFolder = process.env.CHERVILBEAM_PROFILE_FOLDER;
const profile = profileFolder ? ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`] : [];

/** Options of one process of a test or a demonstration. */
export interface ManagedProcessOptions {
  readonly name: string;
  /** Module to run with Node.js. */
  readonly module: string;
  readonly arguments: readonly string[];
  /** Arguments of Node.js itself. */
  readonly nodeArguments?: readonly string[];
  /** Variables beside those of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Takes each line of standard output. */
  readonly onLine?: (line: string) => void;
  /** Takes each line of standard error. */
  readonly onErrorLine?: (line: string) => void;
}

/** A process that a test or the demonstration starts; none outlives the starter. */
export class ManagedProcess {
  /** Resolves with the exit status, or the name of the signal that ended the process. */
  readonly exited: Promise<number | string>;
  private readonly child: ChildProcess;

  /** Starts the process. */
  constructor(options: ManagedProcessOptions) {
    addExitHandler();
    const {onLine, onErrorLine} = options;
    const nodeArguments = [...profile, ...(options.nodeArguments ?? [])];
    this.child = spawn(process.execPath, [...nodeArguments, options.module, ...options.arguments], {
      env: {...process.env, ...options.environment},
      stdio: ['ignore', onLine ? 'pipe' : 'ignore', onErrorLine ? 'pipe' : 'ignore'],
    });
    const {child} = this;
    running.add(child);
    if (onLine && child.stdout) createInterface(child.stdout).on('line', onLine);
    if (onErrorLine && child.stderr) createInterface(child.stderr).on('line', onErrorLine);
    this.exited = new Promise(resolve => {
      // `close` follows `exit` once all output has been read.
      child.once('close', (status, signal) => {
        running.delete(child);
        resolve(signal ?? status ?? 0);
      });
    });
  }

  /** Whether the process has not ended. */
  get isRunning(): boolean {
    return running.has(this.child);
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }
}

/** Number of started processes that have not ended. */
export function getRunningCount(): number {
  return running.size;
}

function addExitHandler(): void {
  if (exitHandlerAdded) return;
  exitHandlerAdded = true;
  process.on('exit', () => {
    for (const child of running) child.kill('SIGKILL');
  });
}
