/**
 * Removes parts that the root does not reference. A part is removed only if it
 * was neither referenced nor rewritten during the grace period, which the
 * clean-up measures on its own monotonic clock.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as recordStore from '../common/record-store.js';
import * as schema from '../common/schema.js';
import * as catalogueReader from './catalogue-reader.js';
import * as catalogueStore from './catalogue-store.js';

/** Minimum grace period; every edit in progress must end well before its end. */
export const minGraceMs = 5 * catalogueStore.maxEditMs;

export type CleanUpContext = {
	store: recordStore.RecordStore;
	clock: clock.Clock;
	/** Time for which unused parts remain available to slow readers; at least {@link minGraceMs}. */
	graceMs: number;
	/** Maximum number of parts that one run removes. */
	maxRemovals: number;
	/** Pause between removals, to leave the write rate of the store to other clients. */
	pauseMs: number;
	signal?: AbortSignal;
};

export type CleanUpResult = {found: number; removed: number};

const usedKeys = async (store: recordStore.RecordStore): Promise<Set<string>> => {
	const found = await catalogueReader.readRoot(store);
	return new Set(found?.root.parts.map((part) => schema.partKey(part.digest)));
};

/** Runs one clean-up. If there is anything to remove, the run takes at least the grace period. */
export const cleanUpParts = async (context: CleanUpContext): Promise<CleanUpResult> => {
	const {store} = context;
	if (context.graceMs < minGraceMs) {
		throw new RangeError(`grace period: expected at least ${minGraceMs} ms`);
	}

	const listed = await store.list(schema.partKey(''), context.signal);
	const usedBefore = await usedKeys(store);
	const candidates = listed.filter((part) => !usedBefore.has(part.key));
	if (candidates.length === 0) {
		return {found: 0, removed: 0};
	}

	await context.clock.sleep(context.graceMs, context.signal);
	const usedAfter = await usedKeys(store);
	const unused = candidates.filter((part) => !usedAfter.has(part.key));
	let removed = 0;
	for (const part of unused.slice(0, context.maxRemovals)) {
		if (await store.compareAndDelete(part.key, part.revision)) {
			removed++;
		}

		await context.clock.sleep(context.pauseMs, context.signal);
	}

	return {found: candidates.length, removed};
};
