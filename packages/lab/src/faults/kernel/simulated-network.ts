import {
  createDelivery,
  type Delivery,
  type InteractionListener,
  type InjectionPoint,
} from './interaction.js';
import type {SimulatedProcess} from './simulated-process.js';
import type {Simulation} from './simulation.js';

/** A message that the network can carry. */
export interface NetworkMessage {
  readonly kind: string;
}

/** A process that exchanges messages with its peers over the network. */
export interface Endpoint<Message extends NetworkMessage> extends SimulatedProcess {
  /** Called when a connection to another process is open. */
  peerUp(peer: Endpoint<Message>): void;
  /** Called when the process detects that a connection is lost. */
  peerDown(peer: string): void;
  /** Handles a message. `beforeEffects` is called after the reducer has run and before its effects are executed. */
  receive(
    peer: string,
    message: Message,
    body: Uint8Array | undefined,
    beforeEffects: () => void,
  ): void;
}

interface Link<Message extends NetworkMessage> {
  readonly ends: readonly [Endpoint<Message>, Endpoint<Message>];
  /** One-way latency. */
  readonly latencyMs: number;
  isUp: boolean;
  /** Counts openings and losses of the connection; messages sent in an earlier epoch are dropped. */
  epoch: number;
  /** Virtual time in milliseconds until which the path is cut. */
  cutUntil: number;
  /** Earliest arrival of the next message by direction, so that messages of a stream stay in order. */
  readonly earliestArrivals: Map<string, number>;
}

/** Maps each kind of message to the kinds that answer it. */
export type AnswerKinds = Readonly<Record<string, readonly string[]>>;

/** Delay from the detection of a lost connection until it is opened again, and between the attempts to do so. */
const reconnectMs = 250;

/** Connections between processes. A connection is an ordered stream in both directions and breaks in both at once. */
export class SimulatedNetwork<Message extends NetworkMessage> {
  /** Called for each message at each injection point. */
  listener: InteractionListener = () => {};
  readonly #links: Array<Link<Message>> = [];
  readonly #unansweredKinds = new Map<string, Set<string>>();
  readonly #directionsToDrop = new Set<string>();

  constructor(
    private readonly simulation: Simulation,
    private readonly answerKinds: AnswerKinds,
  ) {}

  /** Adds a connection that is kept open while both processes run and the path between them is not cut. */
  link(a: Endpoint<Message>, b: Endpoint<Message>, latencyMs: number): void {
    const link: Link<Message> = {
      ends: [a, b],
      latencyMs,
      isUp: false,
      epoch: 0,
      cutUntil: 0,
      earliestArrivals: new Map(),
    };
    this.#links.push(link);
    this.#scheduleReconnect(link, 1);
  }

  /** Cuts the path between two processes for a time; both ends detect the lost connection after `detectionMs`. */
  cut(a: string, b: string, durationMs: number, detectionMs: number): void {
    for (const link of this.#links) {
      if (!hasEndpoint(link, a) || !hasEndpoint(link, b)) continue;
      link.cutUntil = Math.max(link.cutUntil, this.simulation.now + durationMs);
      this.#breakConnection(link, detectionMs, detectionMs);
    }
  }

  /** Drops the next message from one process to another and breaks the connection. */
  dropNext(from: string, to: string): void {
    this.#directionsToDrop.add(`${from}>${to}`);
  }

  /** Closes the connections of a process that ended; its peers detect this after they received all its messages. */
  closeConnectionsOf(name: string): void {
    for (const link of this.#links) {
      if (!hasEndpoint(link, name) || !link.isUp) continue;
      // Messages that the process sent before it ended are still delivered; then the stream closes.
      const other = link.ends[0].name === name ? link.ends[1] : link.ends[0];
      link.isUp = false;
      const {epoch} = link;
      const end = Math.max(
        this.simulation.now + link.latencyMs,
        link.earliestArrivals.get(`${name}>${other.name}`) ?? 0,
      );
      const life = other.life;
      this.simulation.schedule(end - this.simulation.now, () => {
        if (link.epoch === epoch) link.epoch++;
        if (other.life === life) other.deliver(() => other.peerDown(name));
        this.#scheduleReconnect(link, reconnectMs);
      });
    }
  }

  /** Sends a message on the open connection; without an open connection the message is dropped. */
  send(from: string, to: string, message: Message, body?: Uint8Array): void {
    const link = this.#links.find(
      candidate => hasEndpoint(candidate, from) && hasEndpoint(candidate, to),
    );
    if (!link?.isUp) return;
    const {epoch} = link;
    const delivery = createDelivery();
    this.#notifyListener(message.kind, 'before-send', from, to, delivery);
    const sender = link.ends.find(end => end.name === from)!;
    if (!sender.isAlive || !link.isUp || link.epoch !== epoch) return;
    const direction = `${from}>${to}`;
    if (this.#directionsToDrop.delete(direction) || delivery.lost) {
      this.#breakConnection(link, 0, 0);
      return;
    }
    const unanswered = this.#unansweredKinds.get(direction) ?? new Set();
    this.#unansweredKinds.set(direction, unanswered.add(message.kind));
    const arrival = Math.max(
      this.simulation.now + link.latencyMs,
      link.earliestArrivals.get(direction) ?? 0,
    );
    link.earliestArrivals.set(direction, arrival);
    const delayMs = arrival - this.simulation.now + delivery.delayMs;
    for (let copy = 0; copy <= delivery.copies; copy++) {
      this.simulation.schedule(delayMs + copy * 50, () =>
        this.#handleArrival(link, epoch, from, to, message, body),
      );
    }
  }

  /** Returns whether a connection between two processes is open. */
  isConnected(a: string, b: string): boolean {
    return this.#links.some(link => link.isUp && hasEndpoint(link, a) && hasEndpoint(link, b));
  }

  #handleArrival(
    link: Link<Message>,
    epoch: number,
    from: string,
    to: string,
    message: Message,
    body?: Uint8Array,
  ): void {
    if (link.epoch !== epoch) return;
    const delivery = createDelivery();
    this.#notifyListener(message.kind, 'before-effect', from, to, delivery);
    if (link.epoch !== epoch || delivery.lost) return;
    const receiver = link.ends.find(end => end.name === to)!;
    const {life} = receiver;
    const handle = () => {
      if (receiver.life !== life) return;
      receiver.receive(from, message, body, () =>
        this.#notifyListener(message.kind, 'before-answer', from, to, delivery),
      );
      if (delivery.delayMs > 0 || delivery.copies > 0)
        this.#deliverCopies(link, delivery, from, to, message, body);
      const unanswered = this.#unansweredKinds.get(`${to}>${from}`);
      for (const kind of unanswered ?? []) {
        if (!this.answerKinds[kind]?.includes(message.kind)) continue;
        unanswered!.delete(kind);
        this.#notifyListener(kind, 'after-answer', to, from, createDelivery());
      }
    };
    if (delivery.delayMs > 0)
      this.simulation.schedule(delivery.delayMs, () => receiver.deliver(handle));
    else receiver.deliver(handle);
  }

  /** Delivers the additional copies, 50 ms apart, when a fault duplicated the message after it had arrived. */
  #deliverCopies(
    link: Link<Message>,
    delivery: Delivery,
    from: string,
    to: string,
    message: Message,
    body?: Uint8Array,
  ): void {
    const {epoch} = link;
    const receiver = link.ends.find(end => end.name === to)!;
    for (let copy = 1; copy <= delivery.copies; copy++) {
      this.simulation.schedule(copy * 50, () => {
        if (link.epoch !== epoch) return;
        receiver.deliver(() => receiver.receive(from, message, body, () => {}));
      });
    }
  }

  #breakConnection(link: Link<Message>, ...detectionMs: readonly [number, number]): void {
    if (!link.isUp) return;
    link.isUp = false;
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
    this.#scheduleReconnect(link, Math.max(...detectionMs) + reconnectMs);
  }

  #scheduleReconnect(link: Link<Message>, delayMs: number): void {
    this.simulation.schedule(delayMs, () => {
      if (link.isUp) return;
      const [a, b] = link.ends;
      const areRunning = a.isAlive && b.isAlive && !a.isFrozen && !b.isFrozen;
      if (!areRunning || link.cutUntil > this.simulation.now) {
        this.#scheduleReconnect(link, reconnectMs);
        return;
      }
      link.isUp = true;
      link.epoch++;
      link.earliestArrivals.clear();
      a.peerUp(b);
      if (b.isAlive && link.isUp) b.peerUp(a);
    });
  }

  #notifyListener(
    step: string,
    point: InjectionPoint,
    from: string,
    to: string,
    delivery: Delivery,
  ): void {
    this.listener({step, point, from, to, delivery});
  }
}

function hasEndpoint<Message extends NetworkMessage>(link: Link<Message>, name: string): boolean {
  return link.ends[0].name === name || link.ends[1].name === name;
}
