/** Host and port of a process. */
export interface ProcessAddress {
  readonly host: string;
  readonly port: number;
}

const addressPattern = /^([\w.[\]:-]{1,255}):(\d{1,5})$/;
const maxPort = 65_535;

/** Parses `host:port`; undefined when no connection can be opened to it. */
export function parseProcessAddress(address: string): ProcessAddress | undefined {
  const [, host, digits] = addressPattern.exec(address) ?? [];
  const port = Number(digits);
  if (host === undefined || !(port >= 1 && port <= maxPort)) return undefined;
  return {host, port};
}

/** Whether a value is an address to which a connection can be opened. */
export function isProcessAddress(value: unknown): value is string {
  return typeof value === 'string' && parseProcessAddress(value) !== undefined;
}
