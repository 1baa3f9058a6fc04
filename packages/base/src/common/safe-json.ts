/** JSON that may contain secrets. */

/**
 * Parses JSON. The message of an error does not quote the text, unlike that of `JSON.parse`,
 * so it may be logged.
 */
export const parseSecretJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		throw new SyntaxError(`invalid JSON of ${text.length} characters`);
	}
};
