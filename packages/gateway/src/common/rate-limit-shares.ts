/**
 * Shares of the rate limits that upstreams name for all daemons together. Only daemons
 * of its region send to an upstream; rendezvous hashing assigns equal shares of its limit
 * to some of them, so that they keep it together without a message for each request. A
 * daemon that does not know the others yet assumes that there are many.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as tokenBucket from '@hawthornfront/decisions/common/token-bucket.js';

export type RateLimitShares = {
	/** Whether this daemon may send a request to an upstream with a limit now. */
	mayUse(upstreamId: string, requestsPerS: number): boolean;
	/** Counts a request to an upstream with a limit. */
	noteUse(upstreamId: string, requestsPerS: number): void;
	forget(upstreamId: string): void;
};

/** Smallest share; a limit has no more shares than allow it. */
const minSharePerS = 0.5;
/** Only the answers of an upstream show that its limit has ended, so it always gets a request now and then. */
const minRatePerS = 0.2;
const burstRequests = 1;
/** Daemons that a daemon assumes to share a limit while it does not know them; about a large region. */
const assumedMembers = 64;
/** Interval at which the shares follow the members of the region. */
const assignmentMs = 250;

type Share = {
	bucket: tokenBucket.TokenBucket;
	isAssigned: boolean;
	limitPerS: number;
	untilMs: number;
};

/**
 * @param regionMembers names of the region's daemons, including this one
 * @param areMembersKnown whether those are all; without it, a daemon without others assumes some
 */
export const createRateLimitShares = (
	nowMs: () => number,
	daemonName: string,
	regionMembers: () => readonly string[],
	areMembersKnown: () => boolean = () => regionMembers().length > 1,
): RateLimitShares => {
	const shares = new Map<string, Share>();

	/** Share of this daemon in a limit; 0 if it has none. */
	const assignedPerS = (upstreamId: string, requestsPerS: number): number => {
		const members = hash.order(
			`limit ${upstreamId}`,
			regionMembers().map((name) => ({name})),
		);
		const ratePerS = Math.max(minRatePerS, requestsPerS);
		const shareCount = Math.max(1, Math.min(members.length, Math.floor(ratePerS / minSharePerS)));
		const isAssigned = members.slice(0, shareCount).some(({name}) => name === daemonName);
		if (!isAssigned) {
			return 0;
		}

		return ratePerS / (areMembersKnown() ? shareCount : Math.max(shareCount, assumedMembers));
	};

	const createBucket = (ratePerS: number) => {
		const bucket = tokenBucket.createTokenBucket(ratePerS, burstRequests, nowMs());
		if (!areMembersKnown()) {
			// Else many daemons that start together would each send at once.
			bucket.take(burstRequests, nowMs());
		}

		return bucket;
	};

	const shareOf = (upstreamId: string, requestsPerS: number): Share => {
		const known = shares.get(upstreamId);
		if (known && nowMs() < known.untilMs && known.limitPerS === requestsPerS) {
			return known;
		}

		const ratePerS = assignedPerS(upstreamId, requestsPerS);
		const bucket = known?.bucket ?? createBucket(ratePerS);
		bucket.configure(ratePerS, burstRequests, nowMs());
		const share: Share = {
			bucket,
			isAssigned: ratePerS > 0,
			limitPerS: requestsPerS,
			untilMs: nowMs() + assignmentMs,
		};
		shares.set(upstreamId, share);
		return share;
	};

	return {
		mayUse(upstreamId, requestsPerS) {
			const {isAssigned, bucket} = shareOf(upstreamId, requestsPerS);
			return isAssigned && bucket.waitMs(1, nowMs()) === 0;
		},
		noteUse(upstreamId, requestsPerS) {
			shareOf(upstreamId, requestsPerS).bucket.take(1, nowMs());
		},
		forget(upstreamId) {
			shares.delete(upstreamId);
		},
	};
};
