import type {Configuration, Workload} from './document.js';

/** Cell that runs the workloads that name no cells. */
export const mainCell = 'main';

/** Separates the name of a workload from the cell of a share; names of workloads cannot contain it. */
const shareSeparator = '@';

/**
 * Returns what a cell has to run of a configuration: its share of each workload, under a name of its own, so that
 * no task belongs to two cells.
 */
export function getCellConfiguration(configuration: Configuration, cell: string): Configuration {
  const workloads = new Map<string, Workload>();
  for (const workload of configuration.workloads.values()) {
    const share = getShare(workload, cell);
    if (share) workloads.set(share.name, share);
  }
  return {...configuration, workloads};
}

/** Returns the name under which the operators know a workload or the share of a cell. */
export function getDeclaredName(name: string): string {
  const separator = name.indexOf(shareSeparator);
  return separator < 0 ? name : name.slice(0, separator);
}

/** Names of the cells that a configuration uses. */
export function getCells(configuration: Configuration): ReadonlySet<string> {
  const cells = new Set<string>();
  for (const {cells: shares} of configuration.workloads.values()) {
    if (!shares) cells.add(mainCell);
    else for (const {cell} of shares) cells.add(cell);
  }
  return cells;
}

function getShare(workload: Workload, cell: string): Workload | undefined {
  if (!workload.cells) return cell === mainCell ? workload : undefined;
  const share = workload.cells.find(entry => entry.cell === cell);
  if (!share) return undefined;
  return {...workload, name: `${workload.name}${shareSeparator}${cell}`, tasks: share.tasks};
}
