/** One JSON call of a platform service, with its failures as {@link keyValueStore.PlatformError}. */
import * as errorText from '@hawthornfront/base/common/error-text.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as textRequest from '@hawthornfront/base/node/text-request.js';
import type * as zod from 'zod';
import * as keyValueStore from '../common/key-value-store.js';

const defaultTimeoutMs = 3000;
/** Limits of a body after its head; a page of the platform's store is at most about 1 MB. */
const bodyLimits: textRequest.BodyLimits = {maxBytes: 2_097_152, timeoutMs: 3000};

export type JsonCall = {
	/** Name of the service and operation, for errors. */
	service: string;
	address: string;
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	path: string;
	body?: unknown;
	signal?: AbortSignal;
	timeoutMs?: number;
};

/** @throws PlatformError; it may have taken effect unless no byte left or the service refused. */
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
			bodyLimits,
		);
		if (answer.status !== 200) {
			throw new keyValueStore.PlatformError(service, `status ${answer.status}`, false, {
				status: answer.status,
			});
		}

		return schema.parse(JSON.parse(answer.text));
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
