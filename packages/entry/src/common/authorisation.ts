/** Authenticates the team of a request by its API key `<team>.<secret>`. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';

const refuse = (detail: string): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'unauthorized',
		step: 'before-admission',
		peer: '',
		outcome: 'not-run',
		detail,
	});

/** Hash and comparison functions, injected because `common` code cannot import Node.js modules. */
export type Digests = {
	/** SHA-256 in lower-case hexadecimal. */
	sha256(text: string): string;
	/** Compares in constant time. */
	equals(left: string, right: string): boolean;
};

/** Returns the team of the API key. @throws GatewayException `unauthorized` when the key is missing or wrong. */
export const authorise = (
	digests: Digests,
	current: snapshot.Snapshot,
	headers: Readonly<Record<string, string>>,
): schema.Team => {
	const [scheme, key = ''] = (headers.authorization ?? '').split(' ');
	const separator = key.indexOf('.');
	if (scheme?.toLowerCase() !== 'bearer' || separator < 1) {
		throw refuse('send the API key as "Authorization: Bearer <team>.<secret>"');
	}

	const team = current.teams.get(key.slice(0, separator));
	if (!team || !digests.equals(digests.sha256(key.slice(separator + 1)), team.keySha256)) {
		throw refuse('the API key is not known');
	}

	return team;
};
