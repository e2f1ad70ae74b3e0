/** Points of a protocol step at which a fault can be injected, in the order in which they occur. */
export const injectionPoints = [
  'before-send',
  'before-effect',
  'before-answer',
  'after-answer',
] as const;

/**
 * Point of a protocol step. `before-send`: the message is not sent yet. `before-effect`: it arrived and is not
 * handled yet. `before-answer`: it was handled and no answer is sent yet. `after-answer`: the answer was handled.
 */
export type InjectionPoint = (typeof injectionPoints)[number];

/** A message or call that has reached one of the injection points. */
export interface Interaction {
  /** Kind of the message, or `store:`, `worker:` or `backend:` followed by the kind of the call. */
  readonly step: string;
  readonly point: InjectionPoint;
  readonly from: string;
  readonly to: string;
  /** How this message is delivered; a fault changes it to lose, duplicate or delay the message. */
  readonly delivery: Delivery;
}

/** How one message is delivered. Mutable, so that a fault can change the delivery. */
export interface Delivery {
  lost: boolean;
  /** Number of additional deliveries of the same message. */
  copies: number;
  /** Delay beyond the latency of the link; later messages can overtake a delayed one. */
  delayMs: number;
}

/** Called for each interaction at each of its points. */
export type InteractionListener = (interaction: Interaction) => void;

/** Returns the delivery of a message that no fault affects. */
export function createDelivery(): Delivery {
  return {lost: false, copies: 0, delayMs: 0};
}
