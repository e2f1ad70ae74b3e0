/** Location of a process. */
export interface ProcessLocation {
  readonly region: string;
  readonly dataCentre: string;
}

/** One-way latency between data centres of a region, between regions, and within a data centre. */
const betweenDataCentresMs = 1.5;
const betweenRegionsMs = 30;
const withinDataCentreMs = 0.2;

/** Bytes of an HTTP request and of its answer without their bodies, that is, of the first line and the headers. */
const requestOverheadBytes = 180;
const answerOverheadBytes = 170;

/** Bytes of a frame's length prefix. */
const frameOverheadBytes = 4;

/** Counts the bytes between regions. Messages are counted as JSON, which is longer than their frames. */
export class FleetTraffic {
  /** Bytes of store calls. */
  storeBytes = 0;
  /** Bytes of messages between processes. */
  relayBytes = 0;

  /** Returns the one-way latency between two locations in milliseconds. */
  getLatency(a: ProcessLocation, b: ProcessLocation): number {
    if (a.region !== b.region) return betweenRegionsMs;
    return a.dataCentre === b.dataCentre ? withinDataCentreMs : betweenDataCentresMs;
  }

  /** Counts one direction of a store call, with `body` in bytes. */
  addStoreCall(
    caller: ProcessLocation,
    store: ProcessLocation,
    body: number,
    direction: 'request' | 'answer',
  ): void {
    if (caller.region === store.region) return;
    this.storeBytes +=
      body + (direction === 'request' ? requestOverheadBytes : answerOverheadBytes);
  }

  /** Counts a message between processes. */
  addMessage(from: ProcessLocation, to: ProcessLocation, message: unknown): void {
    if (from.region === to.region) return;
    this.relayBytes += JSON.stringify(message).length + frameOverheadBytes;
  }
}
