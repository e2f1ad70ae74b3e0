import {
  createCarriage,
  type Carriage,
  type InteractionListener,
  type Point,
} from './interaction.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {Simulation} from './simulation.js';

/** What the network needs of a message. */
export interface NetworkMessage {
  readonly kind: string;
}

/** A process that is connected to others. */
export interface Endpoint<Message extends NetworkMessage> extends SimulatedProcess {
  /** A connection to another process is open. */
  peerUp(peer: Endpoint<Message>): void;
  /** A connection is lost. */
  peerDown(peer: string): void;
  /** Handles a message; `beforeEffects` runs after the reduction and before its effects. */
  receive(
    peer: string,
    message: Message,
    body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void;
}

interface Link<Message extends NetworkMessage> {
  readonly ends: readonly [Endpoint<Message>, Endpoint<Message>];
  readonly latencyMs: number;
  up: boolean;
  /** Number of the connection; messages of an earlier one are lost. */
  epoch: number;
  cutUntil: number;
  /** Earliest delivery by direction, which keeps the order of a stream. */
  readonly earliest: Map<string, number>;
}

/** Kinds of messages that answer a kind of message. */
export type AnswerKinds = Readonly<Record<string, readonly string[]>>;

const reconnectMs = 250;

/** Connections between processes: ordered streams that break as a whole. */
export class SimulatedNetwork<Message extends NetworkMessage> {
  /** Told of every message at every point. */
  listener: InteractionListener = () => {};
  readonly #links: Array<Link<Message>> = [];
  readonly #awaited = new Map<string, Set<string>>();
  readonly #dropNext = new Set<string>();

  constructor(
    private readonly simulation: Simulation,
    private readonly answers: AnswerKinds,
  ) {}

  /** Declares a connection that is opened whenever both processes live and the path is whole. */
  link(a: Endpoint<Message>, b: Endpoint<Message>, latencyMs: number): void {
    const link: Link<Message> = {
      ends: [a, b],
      latencyMs,
      up: false,
      epoch: 0,
      cutUntil: 0,
      earliest: new Map(),
    };
    this.#links.push(link);
    this.#reconnect(link, 1);
  }

  /** Breaks the path between two processes for a time; both ends notice after the detection time. */
  cut(a: string, b: string, durationMs: number, detectionMs: number): void {
    for (const link of this.#links) {
      if (!joins(link, a) || !joins(link, b)) continue;
      link.cutUntil = Math.max(link.cutUntil, this.simulation.now + durationMs);
      this.#break(link, detectionMs, detectionMs);
    }
  }

  /** Loses the next message from one process to another, together with the connection. */
  dropNext(from: string, to: string): void {
    this.#dropNext.add(`${from}>${to}`);
  }

  /** Tells the peers of a process that it is gone. */
  processEnded(name: string): void {
    for (const link of this.#links) {
      if (!joins(link, name) || !link.up) continue;
      // What the dead process had sent before still arrives, and then the end of the stream.
      const other = link.ends[0].name === name ? link.ends[1] : link.ends[0];
      link.up = false;
      const {epoch} = link;
      const end = Math.max(
        this.simulation.now + link.latencyMs,
        link.earliest.get(`${name}>${other.name}`) ?? 0,
      );
      const life = other.life;
      this.simulation.schedule(end - this.simulation.now, () => {
        if (link.epoch === epoch) link.epoch++;
        if (other.life === life) other.deliver(() => other.peerDown(name));
        this.#reconnect(link, reconnectMs);
      });
    }
  }

  /** Sends a message on the open connection; it is lost when there is none. */
  send(from: string, to: string, message: Message, body?: Uint8Array): void {
    const link = this.#links.find(l => joins(l, from) && joins(l, to));
    if (!link?.up) return;
    const {epoch} = link;
    const carriage = createCarriage();
    this.#tell(message.kind, 'before-send', from, to, carriage);
    const sender = link.ends.find(end => end.name === from)!;
    if (!sender.alive || !link.up || link.epoch !== epoch) return;
    const direction = `${from}>${to}`;
    if (this.#dropNext.delete(direction) || carriage.lost) {
      this.#break(link, 0, 0);
      return;
    }
    const awaited = this.#awaited.get(direction) ?? new Set();
    this.#awaited.set(direction, awaited.add(message.kind));
    const arrival = Math.max(
      this.simulation.now + link.latencyMs,
      link.earliest.get(direction) ?? 0,
    );
    link.earliest.set(direction, arrival);
    const delay = arrival - this.simulation.now + carriage.delayMs;
    for (let copy = 0; copy <= carriage.copies; copy++) {
      this.simulation.schedule(delay + copy * 50, () =>
        this.#arrive(link, epoch, from, to, message, body),
      );
    }
  }

  /** Tells whether two processes are connected. */
  isUp(a: string, b: string): boolean {
    return this.#links.some(link => link.up && joins(link, a) && joins(link, b));
  }

  #arrive(
    link: Link<Message>,
    epoch: number,
    from: string,
    to: string,
    message: Message,
    body?: Uint8Array,
  ): void {
    if (link.epoch !== epoch) return;
    const carriage = createCarriage();
    this.#tell(message.kind, 'before-effect', from, to, carriage);
    if (link.epoch !== epoch || carriage.lost) return;
    const receiver = link.ends.find(end => end.name === to)!;
    const {life} = receiver;
    const handle = () => {
      if (receiver.life !== life) return;
      receiver.receive(from, message, body, () =>
        this.#tell(message.kind, 'before-answer', from, to, carriage),
      );
      if (carriage.delayMs > 0 || carriage.copies > 0)
        this.#repeat(link, carriage, from, to, message, body);
      const awaited = this.#awaited.get(`${to}>${from}`);
      for (const kind of awaited ?? []) {
        if (!this.answers[kind]?.includes(message.kind)) continue;
        awaited!.delete(kind);
        this.#tell(kind, 'after-answer', to, from, createCarriage());
      }
    };
    if (carriage.delayMs > 0)
      this.simulation.schedule(carriage.delayMs, () => receiver.deliver(handle));
    else receiver.deliver(handle);
  }

  /** Delivers a message again that was duplicated after its arrival. */
  #repeat(
    link: Link<Message>,
    carriage: Carriage,
    from: string,
    to: string,
    message: Message,
    body?: Uint8Array,
  ): void {
    const {epoch} = link;
    const receiver = link.ends.find(end => end.name === to)!;
    for (let copy = 1; copy <= carriage.copies; copy++) {
      this.simulation.schedule(copy * 50, () => {
        if (link.epoch !== epoch) return;
        receiver.deliver(() => receiver.receive(from, message, body, () => {}));
      });
    }
  }

  #break(link: Link<Message>, ...detectionMs: readonly [number, number]): void {
    if (!link.up) return;
    link.up = false;
    link.epoch++;
    const between = [link.ends[0].name, link.ends[1].name] as const;
    this.simulation.record({kind: 'connection-lost', between});
    link.ends.forEach((end, index) => {
      const {life} = end;
      const other = link.ends[1 - index]!;
      this.simulation.schedule(detectionMs[index]!, () => {
        if (end.life === life) end.deliver(() => end.peerDown(other.name));
      });
    });
    this.#reconnect(link, Math.max(...detectionMs) + reconnectMs);
  }

  #reconnect(link: Link<Message>, delayMs: number): void {
    this.simulation.schedule(delayMs, () => {
      if (link.up) return;
      const [a, b] = link.ends;
      const open = a.alive && b.alive && !a.frozen && !b.frozen;
      if (!open || link.cutUntil > this.simulation.now) {
        this.#reconnect(link, reconnectMs);
        return;
      }
      link.up = true;
      link.epoch++;
      link.earliest.clear();
      a.peerUp(b);
      if (b.alive && link.up) b.peerUp(a);
    });
  }

  #tell(step: string, point: Point, from: string, to: string, carriage: Carriage): void {
    this.listener({step, point, from, to, carriage});
  }
}

function joins<Message extends NetworkMessage>(link: Link<Message>, name: string): boolean {
  return link.ends[0].name === name || link.ends[1].name === name;
}
