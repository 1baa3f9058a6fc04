/**
 * Era of the store, which rises each time the store is restored from a copy. All calls
 * of one store client share the state, since any response may be the first of an era.
 */
import * as event from '@hawthornfront/base/common/event.js';
import * as storePosition from './store-position.js';

export type EraRise = {era: number; previous: number};

/** An era that cannot be used, as the store named it. */
export type IgnoredEra = {text: string; current: number | undefined};

export type StoreEra = {
	/** Highest era that a response named; undefined before the first one. */
	readonly current: number | undefined;
	/** Fires when the era has risen since an earlier response. */
	readonly onDidRise: event.Event<EraRise>;
	/** Fires once for each text that is not an era. */
	readonly onDidIgnore: event.Event<IgnoredEra>;
	/**
	 * Notes the era that a response names, and returns the era of the response. A response
	 * without a usable era counts as one of the current era; a late one may have a lower era.
	 *
	 * @param text undefined for a response that names none
	 */
	note(text: string | undefined): number | undefined;
};

const eraPattern = /^\d{1,9}$/u;
/** Longest logged text of an era. */
const maxTextLength = 40;

const parseEra = (text: string): number | undefined => {
	const era = eraPattern.test(text) ? Number(text) : undefined;
	return era === undefined || era > storePosition.maxEra ? undefined : era;
};

/** Creates the state of a store that has not responded yet. */
export const createStoreEra = (): StoreEra => {
	const didRise = event.createEmitter<EraRise>();
	const didIgnore = event.createEmitter<IgnoredEra>();
	let current: number | undefined;
	let ignoredText: string | undefined;

	const ignore = (text: string) => {
		const bounded = text.slice(0, maxTextLength);
		if (bounded !== ignoredText) {
			ignoredText = bounded;
			didIgnore.fire({text: bounded, current});
		}
	};

	return {
		onDidRise: didRise.event,
		onDidIgnore: didIgnore.event,
		get current() {
			return current;
		},
		note(text) {
			if (text === undefined) {
				return current;
			}

			const era = parseEra(text);
			if (era === undefined) {
				ignore(text);
				return current;
			}

			const previous = current;
			current = Math.max(era, current ?? 0);
			if (previous !== undefined && era > previous) {
				didRise.fire({era, previous});
			}

			return era;
		},
	};
};
