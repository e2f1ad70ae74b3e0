import type {Candidate, CandidateOrder} from '@chervilbeam/coordination';

/** Returns the comparison of two candidates by a chain of keys, smallest first. */
function by(...keys: ReadonlyArray<(candidate: Candidate) => number>): CandidateOrder {
  return candidates =>
    candidates.sort((a, b) => {
      for (const key of keys) {
        const [first, second] = [key(a), key(b)];
        if (first !== second) return first - second;
      }
      return 0;
    });
}

const priority = ({priority}: Candidate) => priority;
const lateness = ({lateness}: Candidate) => lateness;
const negativeDensity = ({density}: Candidate) => -density;
/** Returns a key that is equal for densities whose ratio is about `ratio` or less. */
const createDensityClass =
  (ratio: number) =>
  ({density}: Candidate) =>
    -Math.floor(Math.log(density) / Math.log(ratio));
const slack = ({slackMs}: Candidate) => slackMs;

/**
 * Moore and Hodgson with weights: in the order of the deadlines, each submission that makes one late removes the least
 * dense of those before it; `cores` is the capacity. Those that are removed follow by density.
 */
function createMooreHodgson(cores: number): CandidateOrder {
  return (candidates, at) => {
    const sorted = by(priority, lateness, ({deadlineAt}) => deadlineAt)(candidates, at);
    const kept = new Set<Candidate>();
    let endAt = at;
    let level = Number.NaN;
    for (const candidate of sorted) {
      if (candidate.lateness > 0) continue;
      if (candidate.priority !== level) {
        level = candidate.priority;
        endAt = at;
      }
      kept.add(candidate);
      endAt += candidate.remainingWork / cores;
      while (endAt > candidate.deadlineAt) {
        let worst: Candidate | undefined;
        for (const other of kept) {
          if (other.priority !== level) continue;
          if (other.density < (worst?.density ?? Number.POSITIVE_INFINITY)) worst = other;
        }
        if (worst === undefined) break;
        kept.delete(worst);
        endAt -= worst.remainingWork / cores;
      }
    }
    const isRemoved = (candidate: Candidate) => Number(!kept.has(candidate));
    const deadlineOrDensity = (candidate: Candidate) =>
      kept.has(candidate) ? candidate.deadlineAt : -candidate.density;
    return by(priority, lateness, isRemoved, deadlineOrDensity)(sorted, at);
  };
}

/** Orders of waiting work by name; undefined is the order of the rules in the timing. */
export function getOrders(cores: number): ReadonlyArray<readonly [string, CandidateOrder]> {
  return [
    ['density', by(priority, lateness, negativeDensity)],
    ['density within 1.25, then slack', by(priority, lateness, createDensityClass(1.25), slack)],
    ['density within 2, then slack', by(priority, lateness, createDensityClass(2), slack)],
    ['density, late work at its share', by(priority, negativeDensity)],
    ['least laxity', by(priority, lateness, slack, negativeDensity)],
    ['Moore and Hodgson with weights', createMooreHodgson(cores)],
  ];
}
