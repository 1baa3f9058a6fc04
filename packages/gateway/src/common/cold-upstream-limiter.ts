/**
 * Rate limit for requests to upstreams that are cold or may be. Many may restart at once
 * while all daemons of the region send to them, so only one daemon of the region sends to
 * each of them, within a share of the upstream's limit. An upstream that has just had the
 * usual traffic of all daemons gets nothing for a moment.
 */
import * as tokenBucket from '@hawthornfront/decisions/common/token-bucket.js';
import type * as regionSender from './region-sender.js';

/** Margin for two senders, as when a region has been cut into two parts that both reach the store. */
const senderRateShare = 0.75;
/** Requests that the sender may send at once. */
const burstRequests = 1.5;
/**
 * An upstream tolerates its rate in each second. One that becomes cold under the usual
 * traffic has got that until the word of it, and the burst of the sender would add to it.
 */
const usualTrafficMs = 1000;

export type ColdUpstreamLimiter = {
	/** Whether this daemon may send a request to a cold upstream now. */
	mayUse(upstreamId: string, ratePerS: number): boolean;
	/** Notes that an upstream may get the usual traffic of all daemons now. */
	noteUsual(upstreamId: string): void;
	/** Notes that the usual traffic ends, because the upstream is cold or may be. */
	noteRestricted(upstreamId: string): void;
	/** Counts a request to a cold upstream. */
	noteUse(upstreamId: string, ratePerS: number): void;
	forget(upstreamId: string): void;
};

export const createColdUpstreamLimiter = (
	nowMs: () => number,
	sender: Pick<regionSender.RegionSender, 'isSender'>,
): ColdUpstreamLimiter => {
	const buckets = new Map<string, tokenBucket.TokenBucket>();
	const usualAtMs = new Map<string, number>();
	const heldUntilMs = new Map<string, number>();

	const bucketOf = (upstreamId: string, ratePerS: number) => {
		let bucket = buckets.get(upstreamId);
		if (!bucket) {
			bucket = tokenBucket.createTokenBucket(ratePerS * senderRateShare, burstRequests, nowMs());
			buckets.set(upstreamId, bucket);
		}

		return bucket;
	};

	const hadUsualTraffic = (upstreamId: string) =>
		nowMs() - (usualAtMs.get(upstreamId) ?? Number.NEGATIVE_INFINITY) < usualTrafficMs;

	const isHeld = (upstreamId: string) =>
		nowMs() < (heldUntilMs.get(upstreamId) ?? Number.NEGATIVE_INFINITY) ||
		hadUsualTraffic(upstreamId);

	return {
		mayUse: (upstreamId, ratePerS) =>
			sender.isSender(upstreamId) &&
			!isHeld(upstreamId) &&
			bucketOf(upstreamId, ratePerS).waitMs(1, nowMs()) === 0,
		noteUsual(upstreamId) {
			usualAtMs.set(upstreamId, nowMs());
		},
		noteRestricted(upstreamId) {
			// Only the first restriction after usual traffic ends some; a restart goes through several.
			if (hadUsualTraffic(upstreamId)) {
				heldUntilMs.set(upstreamId, nowMs() + usualTrafficMs);
				usualAtMs.delete(upstreamId);
			}
		},
		noteUse(upstreamId, ratePerS) {
			bucketOf(upstreamId, ratePerS).take(1, nowMs());
		},
		forget(upstreamId) {
			buckets.delete(upstreamId);
			usualAtMs.delete(upstreamId);
			heldUntilMs.delete(upstreamId);
		},
	};
};
