/**
 * Desired state of a region in the store. A new lease holder writes the state once
 * under its own fencing number before it sends any order. A delayed write of an
 * earlier holder then fails, because the revision has changed.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import * as zod from 'zod';
import type * as placement from './placement.js';

const storedSchema = zod.object({
	fencing: zod.number().int(),
	runners: zod.record(
		zod.string(),
		zod.object({
			model: zod.string(),
			role: zod.string(),
			/** Time from the last change to this write. An age, because the clocks of VMs differ. */
			ageMs: zod.number(),
		}),
	),
});
type Stored = zod.infer<typeof storedSchema>;

/** Store key of the desired state of a region. */
export const desiredKey = (region: string): string => `placer/${region}/desired`;

/** Desired place of one runner; the time is on the monotonic clock of this process. */
export type DesiredPlace = placement.Place & {changedAtMs: number};
export type DesiredPlaces = ReadonlyMap<string, DesiredPlace>;

export type TakeOverResult =
	| {kind: 'taken-over'; places: DesiredPlaces}
	/** A holder with a higher fencing number wrote the state; this lease must not send orders. */
	| {kind: 'outdated'}
	/** A concurrent write changed the state; try again. */
	| {kind: 'conflict'};

export type DesiredState = {
	/** Reads the state and writes it back under this fencing number. @throws PlatformError */
	takeOver(fencing: number): Promise<TakeOverResult>;
	/** Replaces the state; false when another holder has taken over. @throws PlatformError */
	write(fencing: number, places: DesiredPlaces): Promise<boolean>;
};

/** Creates the access to the desired state of one region. */
export const createDesiredState = (
	store: keyValueStore.KeyValueStore,
	timeSource: clock.Clock,
	region: string,
): DesiredState => {
	const key = desiredKey(region);
	let revision = 0;

	const toText = (fencing: number, places: DesiredPlaces): string => {
		const nowMs = timeSource.nowMs();
		const runners: Stored['runners'] = {};
		for (const [name, {model, role, changedAtMs}] of places) {
			runners[name] = {model, role, ageMs: Math.max(0, Math.round(nowMs - changedAtMs))};
		}

		return JSON.stringify({fencing, runners});
	};

	const fromText = (text: string): {fencing: number; places: DesiredPlaces} => {
		const stored = storedSchema.parse(JSON.parse(text));
		const nowMs = timeSource.nowMs();
		const places = new Map<string, DesiredPlace>();
		for (const [name, {model, role, ageMs}] of Object.entries(stored.runners)) {
			places.set(name, {model, role, changedAtMs: nowMs - ageMs});
		}

		return {fencing: stored.fencing, places};
	};

	const put = async (text: string): Promise<boolean> => {
		try {
			const result = await store.compareAndSwap(key, text, revision);
			if (result.kind === 'written') {
				revision = result.revision;
				return true;
			}

			// A conflict with the same text is an earlier write of this placer whose answer was lost.
			if (result.current?.value === text) {
				revision = result.current.revision;
				return true;
			}

			return false;
		} catch (error) {
			const found = await store.get(key);
			if (found?.value === text) {
				revision = found.revision;
				return true;
			}

			throw error;
		}
	};

	return {
		async takeOver(fencing) {
			const found = await store.get(key);
			revision = found?.revision ?? 0;
			const current = found ? fromText(found.value) : {fencing: 0, places: new Map()};
			if (current.fencing > fencing) {
				return {kind: 'outdated'};
			}

			const isWritten = await put(toText(fencing, current.places));
			return isWritten ? {kind: 'taken-over', places: current.places} : {kind: 'conflict'};
		},
		async write(fencing, places) {
			return put(toText(fencing, places));
		},
	};
};
