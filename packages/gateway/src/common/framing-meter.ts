/**
 * Limits the bytes of an answer that are not its body: heads, interim answers,
 * sizes and extensions of chunks, trailers. The parser limits only headers.
 */

export type FramingMeter = {
	/** @param readBytes bytes of the connection that the parser has taken so far */
	start(readBytes: number): void;
	noteBody(bytes: number): void;
	/** Whether more framing arrived than a valid answer has. */
	isExceeded(readBytes: number): boolean;
};

/** Framing of any answer; the parser takes 16 KiB of headers. */
const maxFramingBytes = 65_536;
/** Framing for each byte of the body; a chunk of one byte has five more. */
const maxFramingPerBodyByte = 16;

/** Creates the meter of a connection. */
export const createFramingMeter = (): FramingMeter => {
	let startedAtBytes = 0;
	let bodyBytes = 0;

	return {
		start(readBytes) {
			startedAtBytes = readBytes;
			bodyBytes = 0;
		},
		noteBody(bytes) {
			bodyBytes += bytes;
		},
		isExceeded(readBytes) {
			const framingBytes = readBytes - startedAtBytes - bodyBytes;
			return framingBytes > maxFramingBytes + maxFramingPerBodyByte * bodyBytes;
		},
	};
};
