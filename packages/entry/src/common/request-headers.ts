/** Names and parsing of the headers that the gateway reads and adds. */

/** Names the catalogue entry ahead of the body, so that bound requests can be refused early. */
export const entryHeader = 'hawthornfront-entry';
/** Number of region crossings so far; at most {@link maxCrossings}. */
export const crossingsHeader = 'hawthornfront-crossings';
export const idempotencyKeyHeader = 'idempotency-key';
export const requestTimeoutHeader = 'request-timeout-ms';
/** RFC 8586: names every gateway that a request passed. */
export const cdnLoopHeader = 'cdn-loop';

export const maxCrossings = 1;

/** Identifiers in a `CDN-Loop` header, parameters removed. */
export const parseCdnLoop = (value: string | undefined): string[] =>
	(value ?? '')
		.split(',')
		.map((item) => item.split(';')[0]!.trim())
		.filter((item) => item !== '');

/** `CDN-Loop` header with one more gateway. */
export const appendCdnLoop = (value: string | undefined, identifier: string): string =>
	[...parseCdnLoop(value), identifier].join(', ');

/** Crossings so far; a value that is not a number counts as the maximum. */
export const parseCrossings = (value: string | undefined): number => {
	if (value === undefined) {
		return 0;
	}

	const crossings = Number(value);
	return Number.isInteger(crossings) && crossings >= 0 ? crossings : maxCrossings;
};

// RFC 9110 section 7.6.1, and headers that belong to the gateway itself.
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

/** Headers of a caller that travel on to a plain service. */
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

/** Headers of a service's answer that travel back to the caller. */
export const headersForCaller = (headers: Record<string, string>): Record<string, string> =>
	Object.fromEntries(Object.entries(headers).filter(([name]) => !connectionHeaders.has(name)));
