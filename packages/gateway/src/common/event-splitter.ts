/**
 * Splits a stream of server-sent events at event boundaries, so that a broken stream
 * can resume at another upstream without a partial event.
 */

import * as growingBytes from './growing-bytes.js';

/** Bytes that end with an event. */
export type CompleteEvents = {
	bytes: Uint8Array;
	/** Id of each event; undefined for one without an id of its own. Empty for comments. */
	ids: ReadonlyArray<string | undefined>;
	/** Some line is neither a field nor a comment. */
	hasOtherText: boolean;
};

export type EventSplitter = {
	/** Appends bytes and returns all complete events; undefined when there is none. */
	push(bytes: Uint8Array): CompleteEvents | undefined;
	/** Bytes of an event that is not complete; valid until the next push. */
	rest(): Uint8Array;
	/** Complete events so far. */
	readonly events: number;
	/** More than {@link maxEventBytes} arrived since the last complete event. */
	readonly isOverlong: boolean;
};

/** Limit of one event. Runners write some hundred bytes an event. */
export const maxEventBytes = 262_144;

const lineFeed = 10;
const carriageReturn = 13;
const idField = /^id: ?(.*?)\r?$/u;
/** Comments and empty lines make no event. */
const eventField = /^(?:data|id)(?::|\r?$)/u;
/** Fields of any name, since runners add their own, and comments. */
const anyField = /^(?:[a-z][\w-]*)?(?::|\r?$)/iu;
/** An empty line and the line end before it are at most three bytes, so two may lie before new bytes. */
const precedingByteCount = 2;

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

const readEvents = (bytes: Uint8Array): CompleteEvents => {
	const text = new TextDecoder('latin1').decode(bytes);
	const ids: Array<string | undefined> = [];
	let hasOtherText = false;
	let isInEvent = false;
	let id: string | undefined;
	for (const line of text.split('\n')) {
		if (line === '' || line === '\r') {
			if (isInEvent) {
				ids.push(id);
			}

			isInEvent = false;
			id = undefined;
			continue;
		}

		hasOtherText ||= !anyField.test(line);
		isInEvent ||= eventField.test(line);
		const value = idField.exec(line)?.[1];
		id = value === '' ? undefined : (value ?? id);
	}

	return {bytes, ids, hasOtherText};
};

/** Creates a splitter at the start of a stream. */
export const createEventSplitter = (): EventSplitter => {
	const pending = growingBytes.createGrowingBytes();
	let events = 0;
	let sinceEventBytes = 0;

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
			const whole = end === 0 ? undefined : readEvents(complete(bytes.subarray(0, end)));
			const hasEvent = whole !== undefined && whole.ids.length > 0;
			events += whole?.ids.length ?? 0;
			pending.append(bytes.subarray(end));
			sinceEventBytes = hasEvent ? pending.length : sinceEventBytes + bytes.length;
			return whole;
		},
		rest: () => pending.view(),
		get events() {
			return events;
		},
		get isOverlong() {
			return sinceEventBytes > maxEventBytes;
		},
	};
};
