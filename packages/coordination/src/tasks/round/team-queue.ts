import type {Job} from '../cell/job.js';

interface TeamJobs {
  readonly team: string;
  /** Jobs of the team in reverse order, so that the next one is popped from the end. */
  readonly jobs: Job[];
  dominantShare: number;
}

/** Waiting jobs by team, as a binary min-heap on the dominant shares of the teams. */
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

  /**
   * The next job of the team with the smallest dominant share; undefined when no job is left. Teams without jobs are
   * removed from the heap.
   */
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

  /** Removes the first job for the rest of the round. */
  dropFirst(): void {
    this.heap[0]?.jobs.pop();
  }

  /** Restores the heap order after the share of the first team has grown. */
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
      let smallest = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if ((heap[child]?.dominantShare ?? Infinity) < (heap[smallest]?.dominantShare ?? Infinity))
          smallest = child;
      }
      const parentTeam = heap[parent];
      const childTeam = heap[smallest];
      if (smallest === parent || !parentTeam || !childTeam) return;
      heap[parent] = childTeam;
      heap[smallest] = parentTeam;
      parent = smallest;
    }
  }
}
