/** Moments of a step at which a fault may strike. */
export const points = ['before-send', 'before-effect', 'before-answer', 'after-answer'] as const;

/** One moment of a step: before the send, after it, after the effect, after the answer. */
export type Point = (typeof points)[number];

/** A message or call at one of its moments. */
export interface Interaction {
  /** Kind of the message, or `store:`, `worker:` or `backend:` with the kind of the call. */
  readonly step: string;
  readonly point: Point;
  readonly from: string;
  readonly to: string;
  /** What a fault may ask to happen to this message. */
  readonly carriage: Carriage;
}

/** Fate of one message; a fault may change it. */
export interface Carriage {
  lost: boolean;
  /** Additional deliveries. */
  copies: number;
  /** Additional delay, by which later messages overtake this one. */
  delayMs: number;
}

/** Told of every interaction at every point. */
export type InteractionListener = (interaction: Interaction) => void;

/** Creates the fate of an undisturbed message. */
export function createCarriage(): Carriage {
  return {lost: false, copies: 0, delayMs: 0};
}
