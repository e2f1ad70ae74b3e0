import type {ControlMessage, DataMessage, Hello} from '@chervilbeam/coordination';
import type {VirtualLoop} from './virtual-loop.js';

/** A process that is connected to the modelled network. */
export interface ModelProcess {
  readonly hello: Hello;
  peerUp(peer: string, hello: Hello): void;
  peerDown(peer: string): void;
  receive(peer: string, message: ModelMessage, body?: Uint8Array): void;
}

/** Message that the modelled network carries. */
export type ModelMessage = DataMessage | ControlMessage;

/** Returns the bytes of a framed message on the wire without its body; `from` is the incarnation of the sender. */
export type WireSize = (message: ModelMessage, from: number) => number;

/** One-way latencies, bandwidth and message sizes of the modelled network. */
export interface NetworkOptions {
  readonly betweenRegionsMs: number;
  readonly betweenDataCentresMs: number;
  readonly withinDataCentreMs: number;
  /** Bandwidth between two regions in one direction, in bytes per millisecond. */
  readonly bytesPerMs: number;
  /** Time until the ends of a cut connection are notified. */
  readonly detectionMs: number;
  readonly wireSize: WireSize;
}

/** Traffic between regions; all fields but `messages` are in bytes. */
export interface LinkTraffic {
  data: number;
  control: number;
  bodies: number;
  /** Paths and headers that come from callers and backend servers; included in `data`. */
  payload: number;
  messages: number;
}

interface Connection {
  /** Increased when the connection is opened or cut, so that messages in transit are lost. */
  epoch: number;
  isUp: boolean;
}

const dataMessageKinds: ReadonlySet<string> = new Set([
  ...['dispatch', 'forward', 'reply', 'rejected', 'failed', 'cancel', 'recover', 'recovered'],
]);

/** Connections between processes. Links have a latency; between regions, connections also share limited bandwidth. */
export class ModelNetwork {
  /** Traffic between regions. */
  readonly traffic: LinkTraffic = {data: 0, control: 0, bodies: 0, payload: 0, messages: 0};
  private readonly options: NetworkOptions;
  private readonly processes = new Map<string, ModelProcess>();
  private readonly connections = new Map<string, Connection>();
  /** Virtual time at which each link between regions has sent all its messages. */
  private readonly linkFreeAt = new Map<string, number>();

  constructor(
    private readonly loop: VirtualLoop,
    options: Partial<NetworkOptions> = {},
  ) {
    this.options = {
      betweenRegionsMs: 30,
      betweenDataCentresMs: 1.5,
      withinDataCentreMs: 0.1,
      bytesPerMs: 2500,
      detectionMs: 1,
      wireSize: estimateWireSize,
      ...options,
    };
  }

  /** Adds a process, or replaces one after its restart. */
  add(process: ModelProcess): void {
    this.processes.set(process.hello.name, process);
  }

  /** Opens a connection and notifies both ends. */
  connect(a: string, b: string): void {
    const connection = this.getConnection(a, b);
    if (connection.isUp) return;
    connection.isUp = true;
    connection.epoch += 1;
    const [first, second] = [this.processes.get(a)!, this.processes.get(b)!];
    first.peerUp(b, second.hello);
    second.peerUp(a, first.hello);
  }

  /** Cuts a connection. Messages in transit are lost, and the ends in `notified` are notified after `detectionMs`. */
  cut(a: string, b: string, notified: readonly string[] = [a, b]): void {
    const connection = this.getConnection(a, b);
    if (!connection.isUp) return;
    connection.isUp = false;
    connection.epoch += 1;
    for (const [end, other] of [
      [a, b],
      [b, a],
    ] as const) {
      if (!notified.includes(end)) continue;
      this.loop.after(this.options.detectionMs, () => this.processes.get(end)?.peerDown(other));
    }
  }

  /** Cuts all connections of a killed process and notifies its peers. */
  cutAll(name: string): void {
    for (const other of this.processes.keys()) {
      if (other !== name) this.cut(name, other, [other]);
    }
  }

  /** Returns whether two processes are connected. */
  isUp(a: string, b: string): boolean {
    return this.getConnection(a, b).isUp;
  }

  /** Sends a message. It is lost if the connection is down, or is cut before the message arrives. */
  send(from: string, to: string, message: ModelMessage, body?: Uint8Array): void {
    const connection = this.getConnection(from, to);
    if (!connection.isUp) return;
    const {epoch} = connection;
    this.loop.after(this.getDelayMs(from, to, message, body), () => {
      if (connection.epoch === epoch) this.processes.get(to)?.receive(from, message, body);
    });
  }

  private getDelayMs(from: string, to: string, message: ModelMessage, body?: Uint8Array): number {
    const a = this.processes.get(from)!.hello;
    const b = this.processes.get(to)!.hello;
    if (a.region === b.region) {
      const isSameDataCentre = a.dataCentre === b.dataCentre;
      return isSameDataCentre ? this.options.withinDataCentreMs : this.options.betweenDataCentresMs;
    }
    const frameBytes = this.options.wireSize(message, a.incarnation);
    const bytes = frameBytes + (body?.byteLength ?? 0);
    if (dataMessageKinds.has(message.kind)) this.traffic.data += frameBytes;
    else this.traffic.control += frameBytes;
    this.traffic.bodies += body?.byteLength ?? 0;
    this.traffic.messages += 1;
    this.traffic.payload += getPayloadBytes(message);
    const link = `${a.region}>${b.region}`;
    const now = this.loop.now();
    const transmittedAt =
      Math.max(now, this.linkFreeAt.get(link) ?? 0) + bytes / this.options.bytesPerMs;
    this.linkFreeAt.set(link, transmittedAt);
    return transmittedAt - now + this.options.betweenRegionsMs;
  }

  private getConnection(a: string, b: string): Connection {
    const key = a < b ? `${a}|${b}` : `${b}|${a}`;
    let connection = this.connections.get(key);
    if (!connection) {
      connection = {epoch: 0, isUp: false};
      this.connections.set(key, connection);
    }
    return connection;
  }
}

/** Returns the bytes of a message that come from the caller or the backend server: its headers and path. */
function getPayloadBytes(message: ModelMessage): number {
  if (message.kind !== 'forward' && message.kind !== 'reply') return 0;
  const headers = message.headers.reduce(
    (sum, [name, value]) => sum + name.length + value.length,
    0,
  );
  return headers + (message.kind === 'forward' ? message.path.length : 0);
}

/**
 * Estimates the bytes of a message without its body, as a CBOR record with integer keys behind a length prefix of
 * 4 bytes: one byte for each key, one or two bytes of length for a string, and a number by its magnitude.
 */
export function estimateWireSize(message: ModelMessage): number {
  return 4 + estimateValue(message);
}

function estimateValue(value: unknown): number {
  if (typeof value === 'number') return estimateNumber(value);
  if (typeof value === 'string') return value.length + (value.length < 24 ? 1 : 2);
  if (value instanceof Uint8Array) return value.byteLength + 3;
  if (Array.isArray(value))
    return value.reduce((sum: number, item) => sum + estimateValue(item), 1);
  if (value === null || typeof value !== 'object') return 1;
  let size = 1;
  for (const [key, member] of Object.entries(value)) {
    size += 1 + (key === 'kind' ? 1 : estimateValue(member));
  }
  return size;
}

function estimateNumber(value: number): number {
  if (!Number.isInteger(value)) return 9;
  const magnitude = Math.abs(value);
  if (magnitude < 24) return 1;
  if (magnitude < 256) return 2;
  if (magnitude < 65536) return 3;
  return magnitude < 2 ** 32 ? 5 : 9;
}
