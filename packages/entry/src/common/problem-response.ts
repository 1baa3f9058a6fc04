/** Converts errors to responses: problem details (RFC 9457) with an outcome. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as callerRequest from './caller-request.js';

const hasUnreadBody = (error: gatewayError.GatewayError): boolean =>
	error.step === 'before-admission';

/** Renders an error. When a request is refused before its body is read, the connection is closed so that the body stays unread. */
export const problemResponse = (error: gatewayError.GatewayError): callerRequest.CallerResponse => {
	const problem = gatewayError.toProblem(error);
	const retryAfter = gatewayError.retryAfterSeconds(error);
	return {
		status: problem.status,
		headers: {
			'content-type': 'application/problem+json',
			...(retryAfter === undefined ? {} : {'retry-after': String(retryAfter)}),
			...(hasUnreadBody(error) ? {connection: 'close'} : {}),
		},
		body: JSON.stringify(problem),
	};
};

/** Converts a thrown value to a gateway error. An abort becomes `caller-gone` and other values `internal`, with the outcome `unknown`. */
export const toGatewayError = (thrown: unknown): gatewayError.GatewayError => {
	if (thrown instanceof gatewayError.GatewayException) {
		return thrown.error;
	}

	const isAbort = thrown instanceof Error && thrown.name === 'AbortError';
	return {
		kind: isAbort ? 'caller-gone' : 'internal',
		step: 'mid-stream',
		peer: '',
		outcome: 'unknown',
		detail: isAbort ? 'the caller has gone' : 'an internal error ended the request',
	};
};
