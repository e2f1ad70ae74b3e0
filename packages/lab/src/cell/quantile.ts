/** Returns a quantile of the values, which are sorted in place. */
export function getQuantile(values: number[], quantile: number): number {
  values.sort((a, b) => a - b);
  const position = Math.min(values.length - 1, Math.floor(values.length * quantile));
  return values[position] ?? 0;
}
