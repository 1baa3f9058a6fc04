/** Answers of upstreams, and their wire format. */
import type * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import * as base64 from './base64.js';

/** An answer of an upstream. The body is undefined when it was streamed and not stored. */
export type Answer = {
	status: number;
	/** Header names are in lower case. */
	headers: Record<string, string>;
	body: Uint8Array | undefined;
};

/** An answer whose body is present. */
export type WholeAnswer = Answer & {body: Uint8Array};

/** Size that counts towards the limits; headers count as the length of their text. */
export const sizeBytes = (answer: Answer): number => {
	let total = answer.body?.byteLength ?? 0;
	for (const [name, value] of Object.entries(answer.headers)) {
		total += name.length + value.length;
	}

	return total;
};

/** Converts to the wire format; undefined when there is no body or the answer is over the limit. */
export const toStored = (
	answer: Answer,
	maxAnswerBytes: number,
): onceMethods.StoredAnswer | undefined =>
	answer.body && sizeBytes(answer) <= maxAnswerBytes
		? {status: answer.status, headers: answer.headers, body: base64.encodeBase64(answer.body)}
		: undefined;

/** Converts from the wire format; undefined when the body is not base64. */
export const fromStored = (stored: onceMethods.StoredAnswer): WholeAnswer | undefined => {
	try {
		return {
			status: stored.status,
			headers: stored.headers,
			body: base64.decodeBase64(stored.body),
		};
	} catch {
		return undefined;
	}
};
