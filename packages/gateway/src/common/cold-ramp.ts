/**
 * Pattern: many upstreams come back cold at once, and all daemons of the region
 * send to them. A few owners a cold upstream, chosen by rendezvous hashing among
 * the region's daemons, share its rate, so that the sum stays below what it bears
 * without any message between the daemons.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as tokenBucket from '@hawthornfront/decisions/common/token-bucket.js';

/** Two daemons that briefly disagree about the members must stay below the bound together. */
const ownerRateShare = 0.75;
/** Requests that an owner may send at once. */
const ownerBurst = 1.5;

export type ColdRamp = {
	/** Whether this daemon may send a request to a cold upstream now. */
	mayUse(upstreamId: string, ratePerS: number): boolean;
	/** Counts a request to a cold upstream. */
	noteUse(upstreamId: string, ratePerS: number): void;
	forget(upstreamId: string): void;
};

/** @param regionMembers names of the region's daemons, with this one */
export const createColdRamp = (
	nowMs: () => number,
	ownName: string,
	regionMembers: () => readonly string[],
): ColdRamp => {
	const buckets = new Map<string, tokenBucket.TokenBucket>();

	const bucketOf = (upstreamId: string, ratePerS: number) => {
		let bucket = buckets.get(upstreamId);
		if (!bucket) {
			bucket = tokenBucket.createTokenBucket(ratePerS * ownerRateShare, ownerBurst, nowMs());
			buckets.set(upstreamId, bucket);
		}

		return bucket;
	};

	const isOwner = (upstreamId: string) => {
		const [owner] = hash.order(
			upstreamId,
			regionMembers().map((name) => ({name})),
		);
		return owner === undefined || owner.name === ownName;
	};

	return {
		mayUse: (upstreamId, ratePerS) =>
			isOwner(upstreamId) && bucketOf(upstreamId, ratePerS).waitMs(1, nowMs()) === 0,
		noteUse(upstreamId, ratePerS) {
			bucketOf(upstreamId, ratePerS).take(1, nowMs());
		},
		forget(upstreamId) {
			buckets.delete(upstreamId);
		},
	};
};
