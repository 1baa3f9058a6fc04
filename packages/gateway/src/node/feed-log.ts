/** Logs the outages of a feed from the store. */
import * as errorText from '@hawthornfront/base/common/error-text.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as storeFeed from '../common/store-feed.js';

/** Handlers that log that a feed is lost, regained or must be listed again. */
export const createFeedLog = (
	log: gatewayEvent.EventLog,
	feed: string,
): Pick<storeFeed.StoreFeedHandler, 'onLost' | 'onRegained' | 'onHistoryLost'> => ({
	onLost(error) {
		log.note({
			kind: 'store-lost',
			feed,
			detail: errorText.errorText(error, errorText.maxLoggedLength),
		});
	},
	onRegained(awayMs, revision) {
		log.note({kind: 'store-regained', feed, awayMs: Math.round(awayMs), revision});
	},
	onHistoryLost(revision) {
		log.note({kind: 'store-history-lost', feed, revision});
	},
});
