/** Returns a quantile (0 to 1) of the values, or 0 if there are none. Sorts the values in place. */
export function getQuantile(values: number[], quantile: number): number {
  values.sort((a, b) => a - b);
  const position = Math.min(values.length - 1, Math.floor(values.length * quantile));
  return values[position] ?? 0;
}
