import type {Dispatch} from '../messages/data.js';

/** Who waits for the answer to a request at an agent. */
export interface Waiter {
  readonly peer: string;
  readonly attempt: number;
  cancelled: boolean;
}

/** A request at an agent, queued or in exchange with the backend server. */
export interface AgentWork {
  readonly key: string;
  readonly dispatch: Dispatch;
  readonly body: Uint8Array;
  readonly deadline: number;
  readonly waiters: Waiter[];
  exchange?: number;
  url?: string;
  readonly receivedAt: number;
  startedAt: number;
  aborted: boolean;
}
