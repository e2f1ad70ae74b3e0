import type {ControlMessage, DataMessage, Hello} from '@chervilbeam/coordination';
import type {VirtualLoop} from './virtual-loop.js';

/** A process in the model. */
export interface ModelProcess {
  readonly hello: Hello;
  peerUp(peer: string, hello: Hello): void;
  peerDown(peer: string): void;
  receive(peer: string, message: ModelMessage, body?: Uint8Array): void;
}

/** Every message that the model carries. */
export type ModelMessage = DataMessage | ControlMessage;

/** Size of a message without its body on the wire, with framing, from a process of the given incarnation. */
export type WireSize = (message: ModelMessage, from: number) => number;

/** Speeds of the model. */
export interface NetworkOptions {
  readonly betweenRegionsMs: number;
  readonly betweenDataCentresMs: number;
  readonly withinDataCentreMs: number;
  /** Bytes a millisecond between two regions in one direction. */
  readonly bytesPerMs: number;
  /** Time until both ends notice that a connection was cut. */
  readonly noticeMs: number;
  readonly wireSize: WireSize;
}

/** Bytes that crossed between regions. */
export interface LinkTraffic {
  data: number;
  control: number;
  bodies: number;
  /** Paths and headers of callers and backend servers; part of `data`. */
  payload: number;
  messages: number;
}

interface Connection {
  epoch: number;
  isUp: boolean;
}

const dataMessageKinds: ReadonlySet<string> = new Set([
  ...['dispatch', 'forward', 'reply', 'rejected', 'failed', 'cancel', 'recover', 'recovered'],
]);

/** Connections between processes over links with latency and, between regions, a shared narrow bandwidth. */
export class ModelNetwork {
  /** Traffic between regions. */
  readonly traffic: LinkTraffic = {data: 0, control: 0, bodies: 0, payload: 0, messages: 0};
  private readonly options: NetworkOptions;
  private readonly processes = new Map<string, ModelProcess>();
  private readonly connections = new Map<string, Connection>();
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
      noticeMs: 1,
      wireSize: estimateWireSize,
      ...options,
    };
  }

  /** Adds a process or replaces one that was restarted. */
  add(process: ModelProcess): void {
    this.processes.set(process.hello.name, process);
  }

  /** Opens a connection; both ends learn of it. */
  connect(a: string, b: string): void {
    const connection = this.getConnection(a, b);
    if (connection.isUp) return;
    connection.isUp = true;
    connection.epoch += 1;
    const [first, second] = [this.processes.get(a)!, this.processes.get(b)!];
    first.peerUp(b, second.hello);
    second.peerUp(a, first.hello);
  }

  /** Cuts a connection; messages on the way are lost and the ends in `notified` learn of it a little later. */
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
      this.loop.after(this.options.noticeMs, () => this.processes.get(end)?.peerDown(other));
    }
  }

  /** Cuts all connections of a process that died. */
  cutAll(name: string): void {
    for (const other of this.processes.keys()) {
      if (other !== name) this.cut(name, other, [other]);
    }
  }

  /** Whether two processes are connected. */
  isUp(a: string, b: string): boolean {
    return this.getConnection(a, b).isUp;
  }

  /** Sends a message; it is lost if the connection is down now or is cut before it arrives. */
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
    const overhead = this.options.wireSize(message, a.incarnation);
    const bytes = overhead + (body?.byteLength ?? 0);
    if (dataMessageKinds.has(message.kind)) this.traffic.data += overhead;
    else this.traffic.control += overhead;
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

/** Bytes of a message that are the caller's or the backend server's own. */
function getPayloadBytes(message: ModelMessage): number {
  if (message.kind !== 'forward' && message.kind !== 'reply') return 0;
  const headers = message.headers.reduce(
    (sum, [name, value]) => sum + name.length + value.length,
    0,
  );
  return headers + (message.kind === 'forward' ? message.path.length : 0);
}

/**
 * Estimates the size of a message as a CBOR record with integer keys in a 4-byte frame: one byte for each key,
 * strings with a length byte, numbers by magnitude.
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
