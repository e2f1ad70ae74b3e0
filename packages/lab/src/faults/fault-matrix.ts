import {hasPassed, type CaseResult} from './fault-case.js';
import type {MatrixRow} from './protocols.js';

interface CellCounts {
  cases: number;
  failed: number;
}

/** Counts cases and failures by protocol step, injection point and fault. */
export class FaultMatrix {
  readonly #cells = new Map<string, CellCounts>();

  /** Counts a case in the cell of each fault that was injected. */
  add(result: CaseResult): void {
    result.case.injections.forEach((injection, index) => {
      if (!result.injected[index]) return;
      const key = getCellKey(result.case.world, injection.step, injection.point, injection.fault);
      const cell = this.#cells.get(key) ?? {cases: 0, failed: 0};
      this.#cells.set(key, cell);
      cell.cases++;
      if (!hasPassed(result)) cell.failed++;
    });
  }

  /** Returns the number of cells that have at least one case. */
  countFilledCells(): number {
    return this.#cells.size;
  }

  /**
   * Formats the matrix as text. A cell shows its number of cases, `2!1` for two cases of which one failed, and `.`
   * when it has none.
   */
  format(rows: readonly MatrixRow[], columns: readonly string[]): string {
    const rowLabels = rows.map(row => `${row.protocol} ${row.step} ${row.point}`);
    const width = Math.max(...rowLabels.map(text => text.length));
    const lines = [' '.repeat(width) + columns.map((_, i) => `F${i + 1}`.padStart(6)).join('')];
    rows.forEach((row, index) => {
      const cells = columns.map(column => {
        const cell = this.#cells.get(getCellKey(row.world, row.step, row.point, column));
        if (!cell) return '.';
        return cell.failed > 0 ? `${cell.cases}!${cell.failed}` : `${cell.cases}`;
      });
      lines.push(rowLabels[index]!.padEnd(width) + cells.map(cell => cell.padStart(6)).join(''));
    });
    lines.push(columns.map((column, i) => `F${i + 1} ${column}`).join(', '));
    return lines.join('\n');
  }
}

function getCellKey(world: string, step: string, point: string, fault: string): string {
  return `${world} ${step} ${point} ${fault}`;
}
