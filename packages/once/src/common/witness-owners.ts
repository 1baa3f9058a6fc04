/**
 * What a witness has forgotten, for each owner. A record that was dropped must
 * not look like a record that never was, because that would turn `ran` into
 * `not-run`. The witness therefore keeps, for each owner incarnation, the
 * highest expiry among the records that it dropped (the horizon): a key without
 * a record is certain to be new only beyond the horizon. This compares expiries
 * of one owner with each other, so it holds at any rate of the two clocks and
 * when a paused VM's clock stood still. Time only decides how long records stay.
 */
import type * as identity from '@hawthornfront/protocol/common/identity.js';
import * as identityText from '@hawthornfront/protocol/common/identity.js';
import * as settings from './settings.js';

type OwnerState = {
	name: string;
	incarnation: number;
	/** Highest expiry of a dropped record; -1 when none was dropped. */
	horizonMs: number;
	records: number;
	/** The owner's own time at its last intent, and this clock at that moment. */
	reported: {ownerNowMs: number; atMs: number} | undefined;
	lastUsedMs: number;
};

export type WitnessOwners = {
	/** True when a record of this key may have been dropped. */
	mayHaveForgotten(owner: identity.Identity, expiresAtMs: number): boolean;
	/** Makes room for one more record of an owner; false when too many owners are known. */
	addRecord(owner: identity.Identity, nowMs: number, maxOwners: number): boolean;
	/** Moves the horizon for a dropped record. */
	dropRecord(owner: identity.Identity, expiresAtMs: number): void;
	/** Takes note of the owner's clock. */
	noteClock(owner: identity.Identity, ownerNowMs: number, nowMs: number): void;
	/** Whether an expiry can come from the owner; undefined when its clock is not known. */
	isPlausibleExpiry(
		owner: identity.Identity,
		expiresAtMs: number,
		nowMs: number,
	): boolean | undefined;
	/** True when a later incarnation of the owner has sent an intent. */
	isSuperseded(owner: identity.Identity): boolean;
	/** Drops superseded incarnations without records that were not used since `beforeMs`. */
	prune(beforeMs: number): void;
	readonly size: number;
};

/** Creates an empty table. */
export const createWitnessOwners = (
	limits: Pick<settings.OnceSettings, 'keyLifetimeMs' | 'retentionMs'>,
): WitnessOwners => {
	const states = new Map<string, OwnerState>();
	const latestIncarnation = new Map<string, number>();
	// Incarnations below this were pruned; nothing is certain about them any more.
	const prunedBelow = new Map<string, number>();
	const find = (owner: identity.Identity) => states.get(identityText.identityText(owner));
	const isSuperseded = (owner: identity.Identity) =>
		owner.incarnation < (latestIncarnation.get(owner.name) ?? 0);

	return {
		mayHaveForgotten(owner, expiresAtMs) {
			const isPruned = owner.incarnation < (prunedBelow.get(owner.name) ?? 0);
			return isPruned || expiresAtMs <= (find(owner)?.horizonMs ?? -1);
		},
		addRecord(owner, nowMs, maxOwners) {
			let state = find(owner);
			if (!state) {
				if (states.size + prunedBelow.size >= maxOwners) {
					return false;
				}

				state = {
					name: owner.name,
					incarnation: owner.incarnation,
					horizonMs: -1,
					records: 0,
					reported: undefined,
					lastUsedMs: nowMs,
				};
				states.set(identityText.identityText(owner), state);
			}

			state.records++;
			state.lastUsedMs = nowMs;
			return true;
		},
		dropRecord(owner, expiresAtMs) {
			const state = find(owner);
			if (state) {
				state.records--;
				state.horizonMs = Math.max(state.horizonMs, expiresAtMs);
			}
		},
		noteClock(owner, ownerNowMs, nowMs) {
			const state = find(owner);
			if (state && ownerNowMs >= (state.reported?.ownerNowMs ?? 0)) {
				state.reported = {ownerNowMs, atMs: nowMs};
			}

			const latest = latestIncarnation.get(owner.name) ?? 0;
			latestIncarnation.set(owner.name, Math.max(latest, owner.incarnation));
		},
		isPlausibleExpiry(owner, expiresAtMs, nowMs) {
			const reported = find(owner)?.reported;
			if (!reported) {
				return undefined;
			}

			const elapsedMs = (nowMs - reported.atMs) * (1 + settings.maxClockRateDifference);
			const latestMs = reported.ownerNowMs + elapsedMs + limits.keyLifetimeMs + limits.retentionMs;
			return expiresAtMs <= latestMs;
		},
		isSuperseded,
		prune(beforeMs) {
			for (const [text, state] of states) {
				if (isSuperseded(state) && state.records === 0 && state.lastUsedMs < beforeMs) {
					states.delete(text);
					const below = prunedBelow.get(state.name) ?? 0;
					prunedBelow.set(state.name, Math.max(below, state.incarnation + 1));
				}
			}
		},
		get size() {
			return states.size + prunedBelow.size;
		},
	};
};
