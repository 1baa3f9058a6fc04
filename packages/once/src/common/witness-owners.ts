/**
 * Tracks which keys of each owner a witness may have evicted. An evicted record
 * must not be mistaken for one that never existed, because that would turn `ran`
 * into `not-run`. The witness therefore keeps, for each owner incarnation, the
 * highest expiry among the evicted records (the horizon). A key without a record
 * is certainly new only if it expires after the horizon. Only expiries of the same
 * owner are compared, so this holds at any rate of the two clocks and when the
 * clock of a paused VM stops. Time only decides how long records are kept.
 */
import type * as identity from '@hawthornfront/protocol/common/identity.js';
import * as identityText from '@hawthornfront/protocol/common/identity.js';
import * as settings from './settings.js';

type WitnessedOwner = {
	name: string;
	incarnation: number;
	/** Highest expiry of an evicted record; -1 when none was evicted. */
	horizonMs: number;
	records: number;
	/** The owner's clock at its last intent, and this daemon's clock at that moment. */
	reported: {ownerNowMs: number; atMs: number} | undefined;
	lastUsedMs: number;
};

export type WitnessOwners = {
	/** True when a record of this key may have been evicted. */
	isPossiblyForgotten(owner: identity.Identity, expiresAtMs: number): boolean;
	/** Counts one more record of an owner; false when too many owners are tracked. */
	addRecord(owner: identity.Identity, nowMs: number, maxOwners: number): boolean;
	/** Moves the horizon for an evicted record. */
	dropRecord(owner: identity.Identity, expiresAtMs: number): void;
	/** Records the owner's clock and its latest incarnation. */
	recordOwnerClock(owner: identity.Identity, ownerNowMs: number, nowMs: number): void;
	/** True when the owner can have issued this expiry; undefined when its clock is unknown. */
	isPlausibleExpiry(
		owner: identity.Identity,
		expiresAtMs: number,
		nowMs: number,
	): boolean | undefined;
	/** True when a later incarnation of the owner has sent an intent. */
	isSuperseded(owner: identity.Identity): boolean;
	/** Removes superseded incarnations without records that were last used before `beforeMs`. */
	prune(beforeMs: number): void;
	readonly size: number;
};

/** Creates an empty table. */
export const createWitnessOwners = (
	limits: Pick<settings.OnceSettings, 'keyLifetimeMs' | 'retentionMs'>,
): WitnessOwners => {
	const states = new Map<string, WitnessedOwner>();
	const latestIncarnation = new Map<string, number>();
	// Incarnations below this were pruned, so any of their keys may have been evicted.
	const prunedBelow = new Map<string, number>();
	const find = (owner: identity.Identity) => states.get(identityText.identityText(owner));
	const isSuperseded = (owner: identity.Identity) =>
		owner.incarnation < (latestIncarnation.get(owner.name) ?? 0);

	return {
		isPossiblyForgotten(owner, expiresAtMs) {
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
		recordOwnerClock(owner, ownerNowMs, nowMs) {
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
