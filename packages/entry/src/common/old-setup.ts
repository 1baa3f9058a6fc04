/** Selects the share of an entry's requests that the old inference setup serves. */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import type * as authorisation from './authorisation.js';
import type * as requestContext from './request-context.js';

const hashDigits = 8;
const hashRange = 16 ** hashDigits;

/**
 * Returns the upstream of the old setup for this request, or undefined when the new
 * setup serves it. The choice depends only on a hash of the request id, so that any
 * series of requests is split by the configured share.
 */
export const chooseOldSetup = (
	digests: authorisation.Digests,
	context: requestContext.EntryContext,
): schema.Upstream | undefined => {
	const {entry, request, homeRegion} = context;
	if (entry.oldSetupShare === 0 || request.isForwarded) {
		return undefined;
	}

	const hash = Number.parseInt(digests.sha256(request.requestId).slice(0, hashDigits), 16);
	if (hash / hashRange >= entry.oldSetupShare) {
		return undefined;
	}

	const candidates = snapshot.upstreamsFor(context.current, entry, {
		region: homeRegion,
		oldSetup: true,
	});
	return candidates[hash % Math.max(1, candidates.length)];
};
