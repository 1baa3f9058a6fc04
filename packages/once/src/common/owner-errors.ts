/** Errors that an owner or a resolver returns to callers. */
import type * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as key from './key.js';

const base = (
	peer: string,
	outcome: gatewayError.Outcome,
	detail: string,
): Pick<gatewayError.GatewayError, 'step' | 'peer' | 'outcome' | 'detail'> => ({
	step: 'before-dispatch',
	peer,
	outcome,
	detail,
});

export const unknownKey = (): gatewayError.GatewayError => ({
	kind: 'key-unknown',
	...base(
		'',
		'not-run',
		'The idempotency key was not issued here; GET /v1/entries gives valid keys.',
	),
});

export const reused = (): gatewayError.GatewayError => ({
	kind: 'key-reused',
	...base('', 'not-run', 'The idempotency key was used for a request with other content.'),
});

export const expired = (outcome: gatewayError.Outcome): gatewayError.GatewayError => ({
	kind: 'key-expired',
	...base('', outcome, 'The idempotency key has expired.'),
});

export const stopping = (): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base('', 'not-run', 'The owner of the idempotency key is stopping.'),
});

export const full = (): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base('', 'not-run', 'The owner of the idempotency key keeps as many records as it may.'),
});

export const refusedByEngine = (): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base('', 'not-run', 'The request was refused before it was run.'),
});

export const otherOwner = (): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base('', 'unknown', 'The idempotency key belongs to another daemon or incarnation.'),
});

export const witnessUnreachable = (witness: key.Peer): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base(witness.address, 'not-run', 'The witness of the idempotency key did not answer.'),
});

export const witnessRefused = (witness: key.Peer): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base(witness.address, 'not-run', 'The witness refused the idempotency key.'),
});

export const answerNotKept = (): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base('', 'ran', 'The request was run before; its answer was too long to be kept.'),
	step: 'after-answer',
});

export const sealed = (peer: string): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base(
		peer,
		'not-run',
		'The owner of the key is gone; the request was not and will not be run.',
	),
});

export const unresolved = (peer: string, reason: string): gatewayError.GatewayError => ({
	kind: 'key-unavailable',
	...base(peer, 'unknown', `The owner of the key is gone and the outcome is unknown (${reason}).`),
});
