/** Base64 without Node APIs. */

const chunkBytes = 8192; // keeps the argument list of String.fromCodePoint short

/** Encodes bytes as base64. */
export const encodeBase64 = (bytes: Uint8Array): string => {
	let text = '';
	for (let start = 0; start < bytes.byteLength; start += chunkBytes) {
		text += String.fromCodePoint(...bytes.subarray(start, start + chunkBytes));
	}

	return globalThis.btoa(text);
};

/** Decodes base64. @throws Error when the text is not base64. */
export const decodeBase64 = (text: string): Uint8Array =>
	Uint8Array.from(globalThis.atob(text), (character) => character.codePointAt(0)!);

/** Encodes bytes as base64url without padding (RFC 4648, section 5). */
export const encodeBase64Url = (bytes: Uint8Array): string =>
	encodeBase64(bytes).replaceAll('+', '-').replaceAll('/', '_').replaceAll('=', '');

/** Decodes base64url. @throws Error when the text is not base64url. */
export const decodeBase64Url = (text: string): Uint8Array =>
	decodeBase64(text.replaceAll('-', '+').replaceAll('_', '/'));
