/**
 * Bounds the bytes of answers that all attempts hold back until an answer or an event is
 * complete. The bytes are chosen by upstreams, whose number of answers has no bound here.
 */

/** Bytes that all attempts may hold back; a buffer may have twice the capacity. */
export const maxHeldBackBytes = 12_582_912;

export type AnswerBuffer = {
	/** Sets the number of bytes that the attempt holds back; returns whether all attempts are within the bound. */
	set(bytes: number): boolean;
};

export type AnswerBuffers = {
	/** Adds the buffer of one attempt; set it to 0 when the attempt ends. */
	add(): AnswerBuffer;
	readonly bytes: number;
};

export const createAnswerBuffers = (maxBytes = maxHeldBackBytes): AnswerBuffers => {
	let sum = 0;
	return {
		add() {
			let held = 0;
			return {
				set(bytes) {
					sum += bytes - held;
					held = bytes;
					return sum <= maxBytes;
				},
			};
		},
		get bytes() {
			return sum;
		},
	};
};
