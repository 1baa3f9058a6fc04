/**
 * Splits a stream of server-sent events at event boundaries, so that a broken stream
 * can resume at another upstream without a partial event.
 */

import * as ownText from '@hawthornfront/base/common/own-text.js';
import * as growingBytes from './growing-bytes.js';

export type EventSplitter = {
	/** Appends bytes and returns all complete events; undefined when there is none. */
	push(bytes: Uint8Array): Uint8Array | undefined;
	/** Bytes of an event that is not complete; valid until the next push. */
	rest(): Uint8Array;
	/** Id of the last complete event. */
	readonly lastEventId: string | undefined;
	/** Complete events so far. */
	readonly events: number;
	/** Some line is neither a field nor a comment. */
	readonly hasOtherText: boolean;
	/** More than {@link maxEventBytes} arrived since the last complete event. */
	readonly isOverlong: boolean;
};

/** Limit of one event. Runners write some hundred bytes an event. */
export const maxEventBytes = 262_144;

const lineFeed = 10;
const carriageReturn = 13;
const idField = /^id: ?(.*?)\r?$/u;
/** Comments and empty lines make no event. */
const eventField = /^(?:data|id)(?:[:\r]|$)/u;
/** Fields of any name, since runners add their own, and comments. */
const anyField = /^(?:[a-z][\w-]*)?(?:[:\r]|$)/iu;
/** An empty line and the line end before it are at most three bytes, so two may lie before new bytes. */
const precedingByteCount = 2;

const isLineEnd = (byte: number | undefined) => byte === lineFeed || byte === carriageReturn;

/**
 * Index behind the last empty line that ends in `bytes`; 0 when there is none.
 * @param precedingBytes last bytes before `bytes`
 */
const endOfLastEvent = (precedingBytes: Uint8Array, bytes: Uint8Array): number => {
	const byteAt = (index: number) => (index < 0 ? precedingBytes.at(index) : bytes[index]);
	for (let index = bytes.length - 1; index >= 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const previous = byteAt(index - 1) === carriageReturn ? index - 2 : index - 1;
		if (byteAt(previous) === lineFeed) {
			return index + 1;
		}
	}

	return 0;
};

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
	const pending = growingBytes.createGrowingBytes();
	let lastEventId: string | undefined;
	let events = 0;
	let sinceEventBytes = 0;
	let hasOtherText = false;

	const readEvents = (bytes: Uint8Array) => {
		const text = new TextDecoder('latin1').decode(bytes);
		let isInEvent = false;
		let id: string | undefined;
		for (const line of text.split('\n')) {
			const isEmpty = line === '' || isLineEnd(line.codePointAt(0));
			if (isEmpty) {
				events += isInEvent ? 1 : 0;
				isInEvent = false;
				continue;
			}

			hasOtherText ||= !anyField.test(line);
			isInEvent ||= eventField.test(line);
			id = idField.exec(line)?.[1] ?? id;
		}

		// The id is kept for as long as the stream waits for its next event.
		lastEventId = id === undefined ? lastEventId : ownText.ownText(id, maxEventBytes);
	};

	/** Returns the pending bytes followed by the bytes that complete them. */
	const complete = (bytes: Uint8Array): Uint8Array => {
		if (pending.length === 0) {
			return bytes;
		}

		pending.append(bytes);
		return pending.take();
	};

	return {
		push(bytes) {
			const end = endOfLastEvent(pending.last(precedingByteCount), bytes);
			const before = events;
			const whole = end === 0 ? undefined : complete(bytes.subarray(0, end));
			if (whole) {
				readEvents(whole);
			}

			pending.append(bytes.subarray(end));
			sinceEventBytes = events === before ? sinceEventBytes + bytes.length : pending.length;
			return whole;
		},
		rest: () => pending.view(),
		get lastEventId() {
			return lastEventId;
		},
		get events() {
			return events;
		},
		get hasOtherText() {
			return hasOtherText;
		},
		get isOverlong() {
			return sinceEventBytes > maxEventBytes;
		},
	};
};
