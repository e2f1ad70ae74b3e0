/**
 * The gangs of all workers: a run of a gang works once all its members are present, from the same saved state, and ends
 * as a whole.
 */
export class Gangs {
  #runs = new Map();

  /** Adds a member; `end` ends its run in the given way. */
  add(run, end) {
    const key = getGangKey(run);
    const members = this.#runs.get(key) ?? new Map();
    members.set(run.task, {run, end});
    this.#runs.set(key, members);
    const checkpoints = new Set([...members.values()].map(member => member.run.startCheckpoint));
    if (members.size < run.known.count || checkpoints.size > 1) return;
    for (const member of members.values()) member.run.isTogether = true;
  }

  /** Ends the other members when one has ended. */
  remove(run, how) {
    const key = getGangKey(run);
    const members = this.#runs.get(key);
    if (members?.get(run.task)?.run !== run) return;
    members.delete(run.task);
    if (members.size === 0) this.#runs.delete(key);
    for (const {run: other, end} of [...members.values()]) {
      if (other.isTogether) end(how === 'done' ? 'done' : 'broken');
    }
  }
}

function getGangKey({task, number}) {
  return `${task.slice(0, task.lastIndexOf('.'))}#${number}`;
}
