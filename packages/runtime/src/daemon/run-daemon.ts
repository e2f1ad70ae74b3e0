import {createLogger} from '../logs/index.js';
import type {EntrySettings, Settings} from '../settings/index.js';
import {AgentDaemon} from './agent-daemon.js';
import type {Daemon} from './daemon.js';
import {EntryDaemon} from './entry-daemon.js';

const stopSignals = ['SIGTERM', 'SIGINT'] as const;
/** Exit status when a second signal aborts the graceful shutdown. */
const forcedExitStatus = 130;

/**
 * Runs the daemon of the configured role until a stop signal arrives and all requests in flight are finished; a second
 * signal exits at once. Rejects when an address cannot be listened on.
 */
export async function runDaemon(settings: Settings): Promise<void> {
  const {role, name, dataCentre, logLevel = 'info'} = settings;
  const logger = createLogger({role, process: name, dataCentre}, logLevel);
  const daemon: Daemon =
    role === 'entry'
      ? new EntryDaemon(settings as EntrySettings, logger)
      : new AgentDaemon(settings, logger);
  const stopped = new Promise<void>(resolve => {
    let signalCount = 0;
    for (const signal of stopSignals) {
      process.on(signal, () => {
        signalCount += 1;
        if (signalCount === 1) resolve();
        else process.exit(forcedExitStatus);
      });
    }
  });
  await daemon.start();
  await stopped;
  await daemon.drain();
}
