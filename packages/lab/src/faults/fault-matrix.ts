import {isPassed, type CaseResult} from './fault-case.js';
import type {MatrixRow} from './protocols.js';

interface Cell {
  cases: number;
  failed: number;
}

/** Counts cases by step, point and fault. */
export class FaultMatrix {
  readonly #cells = new Map<string, Cell>();

  /** Counts a case in the cell of each strike that took place. */
  add(result: CaseResult): void {
    result.case.strikes.forEach((strike, index) => {
      if (!result.struck[index]) return;
      const key = getKey(result.case.world, strike.step, strike.point, strike.fault);
      const cell = this.#cells.get(key) ?? {cases: 0, failed: 0};
      this.#cells.set(key, cell);
      cell.cases++;
      if (!isPassed(result)) cell.failed++;
    });
  }

  /** Returns the number of cells with at least one case. */
  countFilled(): number {
    return this.#cells.size;
  }

  /**
   * Returns the matrix as text: cases in each cell, `2!1` for two cases of which one failed, and `.` for a cell
   * without a case.
   */
  format(rows: readonly MatrixRow[], columns: readonly string[]): string {
    const head = rows.map(row => `${row.protocol} ${row.step} ${row.point}`);
    const width = Math.max(...head.map(text => text.length));
    const lines = [' '.repeat(width) + columns.map((_, i) => `F${i + 1}`.padStart(6)).join('')];
    rows.forEach((row, index) => {
      const cells = columns.map(column => {
        const cell = this.#cells.get(getKey(row.world, row.step, row.point, column));
        if (!cell) return '.';
        return cell.failed > 0 ? `${cell.cases}!${cell.failed}` : `${cell.cases}`;
      });
      lines.push(head[index]!.padEnd(width) + cells.map(cell => cell.padStart(6)).join(''));
    });
    lines.push(columns.map((column, i) => `F${i + 1} ${column}`).join(', '));
    return lines.join('\n');
  }
}

function getKey(world: string, step: string, point: string, fault: string): string {
  return `${world} ${step} ${point} ${fault}`;
}
