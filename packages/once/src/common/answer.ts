/** Answers of upstreams, and their form on the wire. */
import type * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import * as base64 from './base64.js';

/** An answer of an upstream. The body is undefined when it was streamed and not kept. */
export type Answer = {
	status: number;
	/** Header names are in lower case. */
	headers: Record<string, string>;
	body: Uint8Array | undefined;
};

/** An answer whose body is present. */
export type WholeAnswer = Answer & {body: Uint8Array};

/** Size that counts against the limits; headers are estimated by their text. */
export const sizeBytes = (answer: Answer): number => {
	let total = answer.body?.byteLength ?? 0;
	for (const [name, value] of Object.entries(answer.headers)) {
		total += name.length + value.length;
	}

	return total;
};

/** Converts to the wire; undefined when there is no body or it is over the limit. */
export const toStored = (
	answer: Answer,
	maxAnswerBytes: number,
): onceMethods.StoredAnswer | undefined =>
	answer.body && sizeBytes(answer) <= maxAnswerBytes
		? {status: answer.status, headers: answer.headers, body: base64.encodeBase64(answer.body)}
		: undefined;

/** Converts from the wire; undefined when the body is not base64. */
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
