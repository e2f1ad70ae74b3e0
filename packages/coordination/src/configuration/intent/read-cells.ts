import type {ObjectReader} from '../../findings/object-reader.js';
import type {WorkloadKind} from '../../messages/identity.js';
import type {CellShare, Workload} from '../document.js';
import {nameRule, taskLimit} from './intent-rules.js';

/** Reads how the tasks of a workload are divided between cells; absent when they run in the main cell. */
export function readCells(
  reader: ObjectReader,
  tasks: number | undefined,
  kind: WorkloadKind,
): Pick<Workload, 'cells'> {
  if (!reader.has('cells')) return {};
  const cells: CellShare[] = [];
  for (const entry of reader.getObjects('cells')) {
    const cell = entry.getText('cell', nameRule);
    const count = entry.getInteger('tasks', {min: 1, max: taskLimit}, 'count');
    entry.rejectUnknownFields();
    if (cells.some(share => share.cell === cell))
      entry.reject('cell', 'a cell that is listed once');
    if (cell !== undefined && count !== undefined) cells.push({cell, tasks: count});
  }
  if (kind === 'batch' && cells.length > 1) {
    reader.reject('cells', 'one cell, because the items of a batch job are counted in one ledger');
  }
  const sum = cells.reduce((total, share) => total + share.tasks, 0);
  if (tasks !== undefined && sum !== tasks) {
    reader.reject('cells', `shares that add up to ${tasks} tasks`);
  }
  return {cells};
}
