/** Base64 without Node APIs. */
import * as base64 from 'base64-js';

/** Encodes bytes as base64. */
export const encodeBase64 = (bytes: Uint8Array): string => base64.fromByteArray(bytes);

/**
 * Decodes base64 or base64url, with padding. Characters outside the alphabet are
 * not detected. @throws Error when the length is invalid.
 */
export const decodeBase64 = (text: string): Uint8Array => base64.toByteArray(text);

/** Encodes bytes as base64url without padding (RFC 4648, section 5). */
export const encodeBase64Url = (bytes: Uint8Array): string =>
	encodeBase64(bytes).replaceAll('+', '-').replaceAll('/', '_').replaceAll('=', '');

/** Decodes base64url without padding; see {@link decodeBase64}. */
export const decodeBase64Url = (text: string): Uint8Array =>
	decodeBase64(text.padEnd(Math.ceil(text.length / 4) * 4, '='));
