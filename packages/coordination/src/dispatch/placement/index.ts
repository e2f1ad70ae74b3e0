export type {AdviceReply} from './advice-tickets.js';
export {type PlacementScope, type PlannedRound, RoundPlan} from './round-plan.js';
export type {Candidate, CandidateOrder} from './submission-order.js';
export {RoundThrottle} from './round-throttle.js';
