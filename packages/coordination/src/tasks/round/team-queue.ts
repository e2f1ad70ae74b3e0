import type {Job} from '../cell/job.js';

interface TeamJobs {
  readonly team: string;
  /** Jobs of the team, first one last. */
  readonly jobs: Job[];
  dominantShare: number;
}

/** Teams with waiting jobs, the one with the least share first (binary heap). */
export class TeamQueue {
  private readonly heap: TeamJobs[] = [];

  constructor(
    teams: ReadonlyMap<string, Job[]>,
    private readonly getShare: (team: string) => number,
  ) {
    for (const [team, jobs] of teams) {
      this.heap.push({team, jobs, dominantShare: getShare(team)});
    }
    for (let index = this.heap.length >> 1; index >= 0; index -= 1) this.siftDown(index);
  }

  /** The first job of the team with the least share, if any is left. */
  get first(): Job | undefined {
    for (;;) {
      const top = this.heap[0];
      if (!top) return undefined;
      const job = top.jobs[top.jobs.length - 1];
      if (job) return job;
      const last = this.heap.pop();
      if (last && last !== top) {
        this.heap[0] = last;
        this.siftDown(0);
      }
    }
  }

  /** Takes the first job out for this round. */
  dropFirst(): void {
    this.heap[0]?.jobs.pop();
  }

  /** Sorts the first team in again after its share has grown. */
  updateFirstTeam(): void {
    const top = this.heap[0];
    if (!top) return;
    top.dominantShare = this.getShare(top.team);
    this.siftDown(0);
  }

  private siftDown(start: number): void {
    const {heap} = this;
    let parent = start;
    for (;;) {
      let least = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if ((heap[child]?.dominantShare ?? Infinity) < (heap[least]?.dominantShare ?? Infinity))
          least = child;
      }
      const upper = heap[parent];
      const lower = heap[least];
      if (least === parent || !upper || !lower) return;
      heap[parent] = lower;
      heap[least] = upper;
      parent = least;
    }
  }
}
