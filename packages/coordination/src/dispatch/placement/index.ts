export type {AdviceReply} from './advice-tickets.js';
export {RoundThrottle} from './round-throttle.js';
