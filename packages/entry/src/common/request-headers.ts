/** Names and parsing of the headers that the gateway reads and adds. */

/** Names the catalogue entry, so that a bound request can be refused before its body is read. */
export const entryHeader = 'hawthornfront-entry';
/** Number of region crossings so far; at most {@link maxCrossings}. */
export const crossingsHeader = 'hawthornfront-crossings';
export const idempotencyKeyHeader = 'idempotency-key';
export const requestTimeoutHeader = 'request-timeout-ms';
/** RFC 8586: lists every gateway that a request has passed. */
export const cdnLoopHeader = 'cdn-loop';

export const maxCrossings = 1;

/** Returns the identifiers in a `CDN-Loop` header without their parameters. */
export const parseCdnLoop = (value: string | undefined): string[] =>
	(value ?? '')
		.split(',')
		.map((item) => item.split(';')[0]!.trim())
		.filter((item) => item !== '');

/** Returns a `CDN-Loop` header with one more gateway. */
export const appendCdnLoop = (value: string | undefined, identifier: string): string =>
	[...parseCdnLoop(value), identifier].join(', ');

/** Parses the number of region crossings; an invalid value counts as the maximum. */
export const parseCrossings = (value: string | undefined): number => {
	if (value === undefined) {
		return 0;
	}

	const crossings = Number(value);
	return Number.isInteger(crossings) && crossings >= 0 ? crossings : maxCrossings;
};

// Hop-by-hop headers (RFC 9110 section 7.6.1) and headers of the gateway itself.
const connectionHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'content-length',
	'expect',
	'authorization',
	entryHeader,
	crossingsHeader,
	cdnLoopHeader,
	requestTimeoutHeader,
]);

/** Returns the headers of a caller that are passed on to a plain service. */
export const headersForService = (
	headers: Readonly<Record<string, string>>,
	cdnLoopIdentifier: string,
): Record<string, string> => ({
	...Object.fromEntries(
		Object.entries(headers).filter(
			([name]) => !connectionHeaders.has(name) && !name.startsWith('hawthornfront-'),
		),
	),
	[cdnLoopHeader]: appendCdnLoop(headers[cdnLoopHeader], cdnLoopIdentifier),
});

/** Returns the headers of a service's answer that are passed back to the caller. */
export const headersForCaller = (headers: Record<string, string>): Record<string, string> =>
	Object.fromEntries(Object.entries(headers).filter(([name]) => !connectionHeaders.has(name)));
