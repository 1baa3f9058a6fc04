/** Digests by which all daemons recognise a request that comes again, without keeping its content. */
import * as crypto from 'node:crypto';

const digestLength = 16;

/**
 * Digest of what a caller repeats when it sends a request again; its attempt id, time
 * limit and position in a stream differ.
 */
export const digestRequest = (method: string, path: string, body?: Uint8Array): string => {
	const digest = crypto.createHash('sha256').update(`${method} ${path}\n`);
	if (body) {
		digest.update(body);
	}

	return digest.digest('hex').slice(0, digestLength);
};
