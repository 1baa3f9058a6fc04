/**
 * The daemons of a region that share the rate limits of its upstreams. A member that was
 * lost may be cut off and still be sending, so its share is reassigned only by daemons that
 * hear most of the region. A daemon that has just started does not know the others.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import type * as fleetView from './fleet-view.js';

export type LimitSharers = {
	/** Applies a change of the fleet; members of other regions are ignored. */
	noteMember(change: {
		kind: fleetView.MemberChange['kind'];
		member: {name: string; region: string};
	}): void;
	/** Notes that the store answered this daemon, or a peer that it hears. */
	noteStoreReached(): void;
	/** Names of the daemons that share the limits, including this one. */
	names(): string[];
	/** Whether the other daemons are known by now, or known not to exist. */
	areKnown(): boolean;
	/** Lost members that it remembers. */
	readonly size: number;
};

export type LimitSharersOptions = {
	nowMs(): number;
	daemonName: string;
	region: string;
	/** Names of the region's other daemons that are alive. */
	alive(): readonly string[];
	/** Whether a daemon of any region is heard; each tells of the members of all regions. */
	hasLivePeers(): boolean;
};

/** A lost member is remembered for this long, which exceeds the usual cuts. */
const rememberedMs = 600_000;
/** Time in which a daemon that hears any other learns of the rest. */
const startMs = 4000;
/** Time in which all members become known once the store was reached. */
const storeListedMs = 2000;
/** A daemon that reaches neither the store nor a peer for this long after its start takes itself for alone. */
const aloneMs = 600_000;
const maxLost = 4096;
/** Key of the order that decides between two halves of a region. */
const tieKey = 'limit sharers';

/** Creates the sharers that a daemon knows at its start. */
export const createLimitSharers = (options: LimitSharersOptions): LimitSharers => {
	const {nowMs, daemonName} = options;
	const startedAtMs = nowMs();
	let storeReachedAtMs = Number.POSITIVE_INFINITY;
	/** Until when each lost member is remembered. */
	const lostUntilMs = new Map<string, number>();

	const lostNames = (): string[] => {
		for (const [name, untilMs] of lostUntilMs) {
			if (untilMs <= nowMs()) {
				lostUntilMs.delete(name);
			}
		}

		return [...lostUntilMs.keys()];
	};

	/** Whether this daemon and those that it hears are most of the region; of two halves only one is. */
	const hearsMajority = (heard: readonly string[], lost: readonly string[]): boolean => {
		if (heard.length !== lost.length) {
			return heard.length > lost.length;
		}

		const [first] = hash.order(
			tieKey,
			[...heard, ...lost].map((name) => ({name})),
		);
		return first !== undefined && heard.includes(first.name);
	};

	return {
		noteMember({kind, member: {name, region}}) {
			if (region !== options.region) {
				return;
			}

			if (kind !== 'lost') {
				lostUntilMs.delete(name);
			} else if (lostUntilMs.has(name) || lostUntilMs.size < maxLost) {
				lostUntilMs.set(name, nowMs() + rememberedMs);
			}
		},
		noteStoreReached() {
			storeReachedAtMs = Math.min(storeReachedAtMs, nowMs());
		},
		names() {
			const heard = [daemonName, ...options.alive()];
			const lost = lostNames().filter((name) => !heard.includes(name));
			return hearsMajority(heard, lost) ? heard : [...heard, ...lost];
		},
		areKnown() {
			const ageMs = nowMs() - startedAtMs;
			const isListed = nowMs() >= storeReachedAtMs + storeListedMs;
			return ageMs >= aloneMs || (ageMs >= startMs && (isListed || options.hasLivePeers()));
		},
		get size() {
			return lostUntilMs.size;
		},
	};
};
