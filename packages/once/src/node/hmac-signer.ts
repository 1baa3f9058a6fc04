/** Signs keys with HMAC-SHA256 and a random secret that is kept for the lifetime of the process. */
import * as crypto from 'node:crypto';
import type * as key from '../common/key.js';

const secretBytes = 32;
const signatureBytes = 16; // RFC 2104, section 5: at least half of the hash

/** Creates a signer. Tests pass a fixed secret. */
export const createHmacSigner = (
	secret: Uint8Array = crypto.randomBytes(secretBytes),
): key.KeySigner => {
	const sign = (bytes: Uint8Array) =>
		new Uint8Array(crypto.createHmac('sha256', secret).update(bytes).digest()).slice(
			0,
			signatureBytes,
		);
	return {
		sign,
		verify: (bytes, signature) =>
			signature.byteLength === signatureBytes && crypto.timingSafeEqual(sign(bytes), signature),
	};
};
