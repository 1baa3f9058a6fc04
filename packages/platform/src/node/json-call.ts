/** JSON calls of platform services; failures are {@link keyValueStore.PlatformError}s. */
import * as errorText from '@hawthornfront/base/common/error-text.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as safeJson from '@hawthornfront/base/common/safe-json.js';
import * as textRequest from '@hawthornfront/base/node/text-request.js';
import type * as zod from 'zod';
import * as keyValueStore from '../common/key-value-store.js';

const defaultTimeoutMs = 3000;
/** Limits for a response body, unless a call names another length. */
const bodyLimits: textRequest.BodyLimits = {maxBytes: 2_097_152, timeoutMs: 3000};

export type JsonCall = {
	/** Service and operation, for error messages. */
	service: string;
	address: string;
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	path: string;
	body?: unknown;
	signal?: AbortSignal;
	timeoutMs?: number;
	/** Longest response body; 2 MiB if omitted. */
	maxBytes?: number;
	/** Called with the headers of each response, also of one that is an error. Their names are in lower case. */
	onHeaders?(headers: Record<string, string>): void;
};

/** @throws PlatformError; the call may have taken effect unless it was not sent or the service refused it. */
export const callJson = async <Schema extends zod.ZodType>(
	client: httpClient.HttpClient,
	call: JsonCall,
	schema: Schema,
): Promise<zod.infer<Schema>> => {
	const service = `${call.service} at ${call.address}`;
	try {
		const answer = await textRequest.requestText(
			client,
			{
				peer: call.address,
				method: call.method,
				path: call.path,
				headers: {'content-type': 'application/json'},
				body: call.body === undefined ? undefined : JSON.stringify(call.body),
				timeoutMs: call.timeoutMs ?? defaultTimeoutMs,
				signal: call.signal,
			},
			{...bodyLimits, maxBytes: call.maxBytes ?? bodyLimits.maxBytes},
			call.onHeaders,
		);
		if (answer.status !== 200) {
			throw new keyValueStore.PlatformError(service, `status ${answer.status}`, false, {
				status: answer.status,
			});
		}

		return schema.parse(safeJson.parseSecretJson(answer.text));
	} catch (error) {
		if (error instanceof keyValueStore.PlatformError) {
			throw error;
		}

		const mayHaveTakenEffect =
			!(error instanceof httpClient.HttpClientError) || error.mayHaveBeenSent;
		const message = errorText.errorText(error);
		throw new keyValueStore.PlatformError(service, message, mayHaveTakenEffect, {
			cause: error,
		});
	}
};
