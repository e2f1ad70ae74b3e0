import {exitCodes, type ExitCode} from '../exit-code.js';
import {parseLog, SubmissionStory, type LogLine} from '../explain/index.js';
import {renderStory} from '../output/index.js';
import {readText} from './files.js';
import {CommandError, type Session} from './session.js';

/** Id of a submission, or name of one of its tasks: id, occurrence, step and index. */
const idPattern = /^[0-9a-f]{16}(\.\d+\.\d+\.\d+)?$/;

/** Prints what the logs of all processes tell about a submission or a task, and which decisions led to its end. */
export function explainSubmission(
  session: Session,
  id: string,
  files: readonly string[],
): ExitCode {
  if (!idPattern.test(id)) {
    const allowed = '16 hexadecimal digits, for a task followed by its three numbers';
    throw new CommandError(`id ${JSON.stringify(id)}; allowed: ${allowed}`, exitCodes.usage);
  }
  const logs = (files.length > 0 ? files : ['-']).map(file => readLog(session, file));
  const story = new SubmissionStory(id, logs);
  if (story.isEmpty) {
    session.context.printError(`no line of the logs names ${id}`);
    return exitCodes.findings;
  }
  const {lines} = story;
  session.print({id, findings: story.getFindings(), lines}, () => renderStory(story));
  return exitCodes.success;
}

/** Reads a log; lines that are not from the system are reported on standard error and left out. */
function readLog(session: Session, file: string): readonly LogLine[] {
  const {lines, skippedCount, firstSkipped} = parseLog(readText(file));
  if (skippedCount > 0) {
    session.context.printError(
      `${file}: ${skippedCount} lines are not log lines and were left out, the first at line ${firstSkipped}`,
    );
  }
  return lines;
}
