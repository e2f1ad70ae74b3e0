/** Size of the length prefix of a frame. */
export const prefixBytes = 4;
/** Bit of the length prefix that is set when the message continues in the next frame. */
export const continuationFlag = 0x80000000;
/** Largest message, summed over its frames. Only messages with a configuration need more than one frame. */
export const maxMessageBytes = 4 * 1024 * 1024;
/** Largest payload of one frame, without the length prefix. */
export const maxFrameBytes = 64 * 1024;
/** Largest part of a body in one frame. Bodies are sent round-robin, so each long body delays another by one part. */
export const maxChunkBytes = 16 * 1024;
/** Largest request body. */
export const maxRequestBodyBytes = 1024 * 1024;
/** Largest answer body. */
export const maxAnswerBodyBytes = 4 * 1024 * 1024;
/** Largest sum of the bodies that a receiver reassembles at a time for one connection. */
export const maxUnfinishedBodyBytes = 64 * 1024 * 1024;
