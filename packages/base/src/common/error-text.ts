/** Characters of an error that a log line keeps. */
export const maxLoggedLength = 200;

/** What an error says, for logs and messages. @param maxLength characters that are kept */
export const errorText = (error: unknown, maxLength = Number.POSITIVE_INFINITY): string =>
	(error instanceof Error ? error.message : String(error)).slice(0, maxLength);
