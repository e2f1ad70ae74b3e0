import type {Configuration, Workload} from './document.js';

/** Cell that runs the workloads without explicit cells. */
export const mainCell = 'main';

/** Separates the workload name from the cell in the name of a share. Workload names cannot contain it. */
const shareSeparator = '@';

/**
 * Returns the part of a configuration that a cell runs. The cell's share of a workload gets a name that includes the
 * cell, so that task ids of different cells never collide.
 */
export function getCellConfiguration(configuration: Configuration, cell: string): Configuration {
  const workloads = new Map<string, Workload>();
  for (const workload of configuration.workloads.values()) {
    const share = getShare(workload, cell);
    if (share) workloads.set(share.name, share);
  }
  return {...configuration, workloads};
}

/** Returns the declared name of a workload, also from the name of a cell's share. */
export function getDeclaredName(name: string): string {
  const separator = name.indexOf(shareSeparator);
  return separator < 0 ? name : name.slice(0, separator);
}

/** Returns the names of the cells that a configuration uses. */
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
