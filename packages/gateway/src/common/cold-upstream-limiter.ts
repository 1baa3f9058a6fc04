/**
 * Rate limit for requests to cold upstreams; many may restart at once while all daemons
 * of the region send to them. Rendezvous hashing assigns each cold upstream to one daemon
 * of the region, and only that daemon sends to it. The rate stays below the upstream's
 * limit without any message between the daemons.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as tokenBucket from '@hawthornfront/decisions/common/token-bucket.js';

/** Margin for two daemons that are both assigned, while their lists of members differ. */
const assignedRateShare = 0.75;
/** Requests that the assigned daemon may send at once. */
const burstRequests = 1.5;

export type ColdUpstreamLimiter = {
	/** Whether this daemon may send a request to a cold upstream now. */
	mayUse(upstreamId: string, ratePerS: number): boolean;
	/** Counts a request to a cold upstream. */
	noteUse(upstreamId: string, ratePerS: number): void;
	forget(upstreamId: string): void;
};

/** @param regionMembers names of the region's daemons, including this one */
export const createColdUpstreamLimiter = (
	nowMs: () => number,
	daemonName: string,
	regionMembers: () => readonly string[],
): ColdUpstreamLimiter => {
	const buckets = new Map<string, tokenBucket.TokenBucket>();

	const bucketOf = (upstreamId: string, ratePerS: number) => {
		let bucket = buckets.get(upstreamId);
		if (!bucket) {
			bucket = tokenBucket.createTokenBucket(ratePerS * assignedRateShare, burstRequests, nowMs());
			buckets.set(upstreamId, bucket);
		}

		return bucket;
	};

	const isAssigned = (upstreamId: string) => {
		const [assigned] = hash.order(
			upstreamId,
			regionMembers().map((name) => ({name})),
		);
		return assigned === undefined || assigned.name === daemonName;
	};

	return {
		mayUse: (upstreamId, ratePerS) =>
			isAssigned(upstreamId) && bucketOf(upstreamId, ratePerS).waitMs(1, nowMs()) === 0,
		noteUse(upstreamId, ratePerS) {
			bucketOf(upstreamId, ratePerS).take(1, nowMs());
		},
		forget(upstreamId) {
			buckets.delete(upstreamId);
		},
	};
};
