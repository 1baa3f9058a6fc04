/** Key-value store over HTTP and JSON; every operation is a `POST /kv/{operation}`. */
import * as zod from 'zod';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as keyValueStore from '../common/key-value-store.js';
import * as jsonCall from './json-call.js';

/** Additional time for the response after a watch has waited. */
const watchGraceMs = 3000;

/** Client of the key-value store at one address. */
export class HttpKeyValueStore extends keyValueStore.KeyValueStore {
	readonly #client: httpClient.HttpClient;
	readonly #address: string;

	constructor(client: httpClient.HttpClient, address: string) {
		super();
		this.#client = client;
		this.#address = address;
	}

	override async get(key: string, signal?: AbortSignal) {
		const schema = zod.object({found: keyValueStore.keyValueSchema.optional()});
		const answer = await this.#call('get', {key}, schema, {signal});
		return answer.found;
	}

	override async list(prefix: string, signal?: AbortSignal) {
		const schema = zod.object({keys: zod.array(keyValueStore.keyValueSchema.omit({value: true}))});
		const answer = await this.#call('list', {prefix}, schema, {signal});
		return answer.keys;
	}

	override async compareAndSwap(
		key: string,
		value: string,
		expectedRevision: number,
		options: {leaseId?: string; signal?: AbortSignal} = {},
	) {
		const body = {key, value, expectedRevision, leaseId: options.leaseId};
		return this.#call('compare-and-swap', body, keyValueStore.putResultSchema, {
			signal: options.signal,
		});
	}

	override async compareAndDelete(key: string, expectedRevision: number) {
		const schema = zod.object({deleted: zod.boolean()});
		const answer = await this.#call('compare-and-delete', {key, expectedRevision}, schema);
		return answer.deleted;
	}

	override async watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal) {
		const schema = zod.object({found: keyValueStore.keyValueSchema.optional()});
		const answer = await this.#call('watch', {key, afterRevision, waitMs}, schema, {
			signal,
			timeoutMs: waitMs + watchGraceMs,
		});
		return answer.found;
	}

	override async grantLease(ttlMs: number) {
		return this.#call('grant-lease', {ttlMs}, keyValueStore.leaseSchema);
	}

	override async renewLease(leaseId: string) {
		const answer = await this.#call('renew-lease', {leaseId}, zod.object({renewed: zod.boolean()}));
		return answer.renewed;
	}

	override async revokeLease(leaseId: string) {
		await this.#call('revoke-lease', {leaseId}, zod.object({}));
	}

	async #call<Schema extends zod.ZodType>(
		operation: string,
		body: unknown,
		schema: Schema,
		options: {signal?: AbortSignal; timeoutMs?: number} = {},
	): Promise<zod.infer<Schema>> {
		return jsonCall.callJson(
			this.#client,
			{
				service: `key-value store, ${operation}`,
				address: this.#address,
				method: 'POST',
				path: `/kv/${operation}`,
				body,
				...options,
			},
			schema,
		);
	}
}
