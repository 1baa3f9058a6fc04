/**
 * Cuts a stream of server-sent events at the ends of events, so that a stream
 * that breaks midway can go on elsewhere without half an event.
 */

export type EventCutter = {
	/** Takes bytes and returns those that complete events; undefined when none is complete. */
	push(bytes: Uint8Array): Uint8Array | undefined;
	/** Bytes of an event that is not complete. */
	rest(): Uint8Array;
	/** Id of the last complete event. */
	readonly lastEventId: string | undefined;
	/** Complete events so far. */
	readonly events: number;
};

const lineFeed = 10;
const carriageReturn = 13;
const idField = /^id: ?(.*?)\r?$/u;

const isLineEnd = (byte: number | undefined) => byte === lineFeed || byte === carriageReturn;

/** Index behind the last empty line; 0 when there is none. */
const endOfLastEvent = (bytes: Uint8Array): number => {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const previous = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (previous >= 0 && bytes[previous] === lineFeed) {
			return index + 1;
		}
	}

	return 0;
};

const join = (first: Uint8Array, second: Uint8Array): Uint8Array => {
	const joined = new Uint8Array(first.length + second.length);
	joined.set(first);
	joined.set(second, first.length);
	return joined;
};

/** Creates a cutter at the start of a stream. */
export const createEventCutter = (): EventCutter => {
	let pending: Uint8Array = new Uint8Array(0);
	let lastEventId: string | undefined;
	let events = 0;

	const readIds = (bytes: Uint8Array) => {
		const text = new TextDecoder('latin1').decode(bytes);
		let isInEvent = false;
		for (const line of text.split('\n')) {
			const isEmpty = line === '' || isLineEnd(line.codePointAt(0));
			if (isEmpty) {
				events += isInEvent ? 1 : 0;
				isInEvent = false;
				continue;
			}

			isInEvent = true;
			lastEventId = idField.exec(line)?.[1] ?? lastEventId;
		}
	};

	return {
		push(bytes) {
			const all = pending.length === 0 ? bytes : join(pending, bytes);
			const end = endOfLastEvent(all);
			pending = all.subarray(end);
			if (end === 0) {
				return undefined;
			}

			const complete = all.subarray(0, end);
			readIds(complete);
			return complete;
		},
		rest: () => pending,
		get lastEventId() {
			return lastEventId;
		},
		get events() {
			return events;
		},
	};
};
