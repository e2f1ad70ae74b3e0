/** Place of a process. */
export interface Place {
  readonly region: string;
  readonly dataCentre: string;
}

/** One-way latency between data centres of a region, and between regions. */
const betweenDataCentresMs = 1.5;
const betweenRegionsMs = 30;
const withinDataCentreMs = 0.2;

/** Bytes of one HTTP call besides its bodies: request line and headers, status line and headers. */
const requestOverheadBytes = 180;
const answerOverheadBytes = 170;

/** Length prefix of a frame. */
const frameOverheadBytes = 4;

/** Bytes that cross from one region to another. Messages are counted as JSON, which is longer than their frames. */
export class FleetTraffic {
  storeBytes = 0;
  relayBytes = 0;

  /** Returns the one-way latency between two places. */
  getLatency(a: Place, b: Place): number {
    if (a.region !== b.region) return betweenRegionsMs;
    return a.dataCentre === b.dataCentre ? withinDataCentreMs : betweenDataCentresMs;
  }

  /** Counts one direction of a store call. */
  addStoreCall(caller: Place, store: Place, body: number, direction: 'request' | 'answer'): void {
    if (caller.region === store.region) return;
    this.storeBytes +=
      body + (direction === 'request' ? requestOverheadBytes : answerOverheadBytes);
  }

  /** Counts a message between processes. */
  addMessage(from: Place, to: Place, message: unknown): void {
    if (from.region === to.region) return;
    this.relayBytes += JSON.stringify(message).length + frameOverheadBytes;
  }
}
