/**
 * The part of a stream of events that its caller has. Another run may only go on behind that
 * part, whatever the runs before it have sent beyond it.
 */
import * as ownText from '@hawthornfront/base/common/own-text.js';
import * as eventSplitter from './event-splitter.js';

export type CallerStream = {
	/** Id of the last event that the caller has; undefined if it has none. */
	readonly lastEventId: string | undefined;
	/** Whether another run can go on behind the caller's part. */
	readonly canContinue: boolean;
	/** Whether another run that begins with these events goes on behind the caller's part. */
	mayBeginWith(events: eventSplitter.CompleteEvents): boolean;
	/** Whether a run may go on with these events, after others that were passed on. */
	mayGoOnWith(events: eventSplitter.CompleteEvents): boolean;
	/** Call it for all events that are passed to the caller. */
	notePassed(events: eventSplitter.CompleteEvents): void;
};

const decimalId = /^\d{1,15}$/u;

/** Numbers increase; the order of other ids is unknown, but no id follows itself or one of the other kind. */
const follows = (id: string, previousId: string): boolean => {
	const isDecimal = decimalId.test(id);
	if (isDecimal !== decimalId.test(previousId)) {
		return false;
	}

	return isDecimal ? Number(id) > Number(previousId) : id !== previousId;
};

/** @param requestedAfterId event after which the caller itself resumes a stream */
export const createCallerStream = (requestedAfterId: string | undefined): CallerStream => {
	let passedId: string | undefined;
	/** The id of the last event is a place at which another run can go on. */
	let isLastEventNamed = true;
	/** The caller has bytes that are no events, or events out of order. */
	let isDamaged = false;

	const isInOrder = ({ids, hasOtherText}: eventSplitter.CompleteEvents): boolean => {
		let previousId = passedId;
		for (const id of ids) {
			if (id !== undefined && previousId !== undefined && !follows(id, previousId)) {
				return false;
			}

			previousId = id ?? previousId;
		}

		return !hasOtherText;
	};

	return {
		get lastEventId() {
			return passedId ?? requestedAfterId;
		},
		get canContinue() {
			return isLastEventNamed && !isDamaged;
		},
		mayBeginWith: (events) =>
			isInOrder(events) &&
			events.ids.length > 0 &&
			(passedId === undefined || events.ids[0] !== undefined),
		mayGoOnWith: isInOrder,
		notePassed(events) {
			isDamaged ||= !isInOrder(events);
			const {ids} = events;
			if (ids.length === 0) {
				return;
			}

			isLastEventNamed = ids.at(-1) !== undefined;
			const lastId = ids.findLast((id) => id !== undefined);
			if (lastId !== undefined) {
				// The id is kept for as long as the stream waits for its next event.
				passedId = ownText.ownText(lastId, eventSplitter.maxEventBytes);
			}
		},
	};
};
