/** Renders rows under headings with aligned columns. */
export function renderTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [headings, ...rows].map(row => row.map(replaceControlCharacters));
  const widths = headings.map((_, column) =>
    Math.max(...lines.map(line => line[column]?.length ?? 0)),
  );
  return lines
    .map(line =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Replaces control characters with `?`, so that text from elsewhere cannot send escape sequences to the terminal. */
export function replaceControlCharacters(text: string): string {
  // eslint-disable-next-line no-control-regex
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, '?');
}
