/**
 * Limits requests to cold upstreams, since many may restart at once while all daemons of
 * the region send to them. Rendezvous hashing chooses an owner for each cold upstream
 * among the region's daemons; only the owner sends to it. The rate stays below the
 * upstream's limit without any message between the daemons.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as tokenBucket from '@hawthornfront/decisions/common/token-bucket.js';

/** Margin for two daemons that briefly disagree about the members and both act as owner. */
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

/** @param regionMembers names of the region's daemons, including this one */
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
