export {checkLearnedState, type LearnedStateCheck} from './check-learned-state.js';
export {type LearnedState} from './learned-state.js';
