/** Bytes of the length prefix of a frame. */
export const prefixBytes = 4;
/** Bit of the length prefix that says that the message continues in the next frame. */
export const continuedFlag = 0x80000000;
/** Largest message over all its frames. Only configurations need more than one frame. */
export const maxMessageBytes = 4 * 1024 * 1024;
/** Largest frame on a connection between own processes, without its length prefix. */
export const maxFrameBytes = 64 * 1024;
/** Largest part of a body in one frame. Small enough that a long body delays others by one part only. */
export const maxChunkBytes = 16 * 1024;
/** Largest request body. */
export const maxRequestBodyBytes = 1024 * 1024;
/** Largest answer body. */
export const maxAnswerBodyBytes = 4 * 1024 * 1024;
/** Bytes of unfinished bodies that one connection may hold at a receiver. */
export const maxUnfinishedBytes = 64 * 1024 * 1024;
