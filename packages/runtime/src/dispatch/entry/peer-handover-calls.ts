import type {SuccessorCandidate} from '@chervilbeam/coordination';
import type {
  HandoverCalls,
  HandoverOffer,
  HandoverReply,
} from '../ownership/handover/handover-calls.js';
import type {EntryPeers} from './entry-peers.js';

/** Share of the time for the candidates in which the list of entries is read again; it is up to 5 s old. */
const listShare = 0.4;

/** Sends the calls of a planned handover over the links between entries. */
export class PeerHandoverCalls implements HandoverCalls {
  constructor(
    private readonly peers: Pick<EntryPeers, 'ask' | 'readEntries'> & {
      readonly getAddresses: () => readonly string[];
    },
  ) {}

  /** @inheritdoc */
  async findCandidates(timeoutMs: number): Promise<readonly SuccessorCandidate[]> {
    const listMs = timeoutMs * listShare;
    await Promise.race([
      this.peers.readEntries(),
      new Promise(resolve => setTimeout(resolve, listMs)),
    ]);
    const answers = this.peers.getAddresses().map(async address => {
      const response = await this.peers.ask(address, timeoutMs - listMs, request => ({
        kind: 'handover-query',
        request,
      }));
      if (response?.kind !== 'handover-candidate') return [];
      const {isAvailable, processors, roundTripMs} = response;
      return [{address, isAvailable, processors, roundTripMs}];
    });
    return (await Promise.all(answers)).flat();
  }

  /** @inheritdoc */
  async offer(
    address: string,
    {term, learned}: HandoverOffer,
    timeoutMs: number,
  ): Promise<HandoverReply | undefined> {
    const response = await this.peers.ask(address, timeoutMs, request => ({
      kind: 'handover-offer',
      request,
      term,
      ...(learned !== undefined && {learned}),
    }));
    if (response?.kind !== 'handover-result') return undefined;
    const {isTaken, reason = 'no-reason'} = response;
    return isTaken ? {isTaken} : {isTaken, reason};
  }
}
