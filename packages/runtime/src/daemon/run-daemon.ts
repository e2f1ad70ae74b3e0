import {createLogger} from '../logs/index.js';
import type {EntrySettings, Settings} from '../settings/index.js';
import {AgentDaemon} from './agent-daemon.js';
import type {Daemon} from './daemon.js';
import {EntryDaemon} from './entry-daemon.js';

const stopSignals = ['SIGTERM', 'SIGINT'] as const;
/** Exit status after a second signal cut the graceful shutdown short. */
const cutShortStatus = 130;

/** Runs the role of the settings until the process is told to stop and everything in flight is done. */
export async function runDaemon(settings: Settings): Promise<void> {
  const {role, name, dataCentre, logLevel = 'info'} = settings;
  const logger = createLogger({role, process: name, dataCentre}, logLevel);
  const daemon: Daemon =
    role === 'entry'
      ? new EntryDaemon(settings as EntrySettings, logger)
      : new AgentDaemon(settings, logger);
  const stopped = new Promise<void>(resolve => {
    let signals = 0;
    for (const signal of stopSignals) {
      process.on(signal, () => {
        signals += 1;
        if (signals === 1) resolve();
        else process.exit(cutShortStatus);
      });
    }
  });
  await daemon.start();
  await stopped;
  await daemon.drain();
}
