/** Maximum number of characters of an error message in a log line. */
export const maxLoggedLength = 200;

/** Message of an error, for logs and other messages. @param maxLength maximum number of characters */
export const errorText = (error: unknown, maxLength = Number.POSITIVE_INFINITY): string =>
	(error instanceof Error ? error.message : String(error)).slice(0, maxLength);
