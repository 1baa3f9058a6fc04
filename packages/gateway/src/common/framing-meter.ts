/**
 * Limits the bytes of a response that are not its body: heads, interim responses,
 * chunk sizes and extensions, trailers. The HTTP parser limits only headers.
 */

export type FramingMeter = {
	/** @param readBytes bytes of the connection that the parser has read so far */
	start(readBytes: number): void;
	noteBody(bytes: number): void;
	/** Whether more framing bytes arrived than a valid response has. */
	isExceeded(readBytes: number): boolean;
};

/** Framing allowed in any response; the parser accepts 16 KiB of headers. */
const maxFramingBytes = 65_536;
/** Further framing allowed for each byte of the body; a chunk of one byte has five bytes of framing. */
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
