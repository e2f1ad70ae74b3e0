export type {AdviceReply} from './advice-tickets.js';
export type {Candidate, CandidateOrder} from './submission-order.js';
export {RoundThrottle} from './round-throttle.js';
