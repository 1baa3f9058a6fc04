/** One JSON call of a platform service, with its failures as {@link keyValueStore.PlatformError}. */
import * as errorText from '@hawthornfront/base/common/error-text.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as zod from 'zod';
import * as keyValueStore from '../common/key-value-store.js';

const defaultTimeoutMs = 3000;
const maxAnswerBytes = 2_097_152;

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
		const answer = await client.request({
			peer: call.address,
			method: call.method,
			path: call.path,
			headers: {'content-type': 'application/json'},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			timeoutMs: call.timeoutMs ?? defaultTimeoutMs,
			signal: call.signal,
		});
		const text = await httpClient.readText(answer.body, maxAnswerBytes);
		if (answer.status !== 200) {
			throw new keyValueStore.PlatformError(service, `status ${answer.status}`, false, {
				status: answer.status,
			});
		}

		return schema.parse(JSON.parse(text));
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
