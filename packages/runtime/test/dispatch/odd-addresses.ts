/** Texts in the place of an address to which no connection can be opened. */
export const oddAddresses: readonly string[] = [
  '10.0.0.9:99999',
  '10.0.0.9:0',
  '10.0.0.9:-1',
  '10.0.0.9:8080.5',
  '10.0.0.9:1e400',
  '10.0.0.9:',
  '10.0.0.9',
  ':8080',
  '',
  'a b:8080',
  `${'x'.repeat(70_000)}:8080`,
];
