/** VM list, directory and weight store over HTTP/JSON. */
import * as zod from 'zod';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as keyValueStore from '../common/key-value-store.js';
import * as platformServices from '../common/platform-services.js';

const callTimeoutMs = 3000;
const maxAnswerBytes = 2_097_152;

type Call = {
	service: string;
	address: string;
	method: 'GET' | 'POST' | 'PUT';
	path: string;
	body?: unknown;
	signal?: AbortSignal;
};

const call = async <Schema extends zod.ZodType>(
	client: httpClient.HttpClient,
	details: Call,
	schema: Schema,
): Promise<zod.infer<Schema>> => {
	const service = `${details.service} at ${details.address}`;
	try {
		const answer = await client.request({
			peer: details.address,
			method: details.method,
			path: details.path,
			headers: {'content-type': 'application/json'},
			body: details.body === undefined ? undefined : JSON.stringify(details.body),
			timeoutMs: callTimeoutMs,
			signal: details.signal,
		});
		const text = await httpClient.readText(answer.body, maxAnswerBytes);
		if (answer.status !== 200) {
			throw new keyValueStore.PlatformError(service, `status ${answer.status}`, false);
		}

		return schema.parse(JSON.parse(text));
	} catch (error) {
		if (error instanceof keyValueStore.PlatformError) {
			throw error;
		}

		const message = error instanceof Error ? error.message : String(error);
		throw new keyValueStore.PlatformError(service, message, true, error);
	}
};

/** VM list: `GET /vms`. */
export class HttpVmList extends platformServices.VmList {
	readonly #client: httpClient.HttpClient;
	readonly #address: string;

	constructor(client: httpClient.HttpClient, address: string) {
		super();
		this.#client = client;
		this.#address = address;
	}

	override async list(signal?: AbortSignal) {
		const schema = zod.object({vms: zod.array(platformServices.vmSchema)});
		const answer = await call(
			this.#client,
			{service: 'VM list', address: this.#address, method: 'GET', path: '/vms', signal},
			schema,
		);
		return answer.vms;
	}
}

/** Directory: `GET /directory` and `PUT /directory/{failureDomain}`. */
export class HttpDirectory extends platformServices.Directory {
	readonly #client: httpClient.HttpClient;
	readonly #address: string;

	constructor(client: httpClient.HttpClient, address: string) {
		super();
		this.#client = client;
		this.#address = address;
	}

	override async read(signal?: AbortSignal) {
		const schema = zod.object({entries: zod.array(platformServices.directoryEntrySchema)});
		const answer = await call(
			this.#client,
			{service: 'directory', address: this.#address, method: 'GET', path: '/directory', signal},
			schema,
		);
		return answer.entries;
	}

	override async publish(failureDomain: string, entries: platformServices.DirectoryEntry[]) {
		const path = `/directory/${encodeURIComponent(failureDomain)}`;
		await call(
			this.#client,
			{service: 'directory', address: this.#address, method: 'PUT', path, body: {entries}},
			zod.object({}),
		);
	}
}

/** Weight store: `POST /weights/tickets`. */
export class HttpWeightStore extends platformServices.WeightStore {
	readonly #client: httpClient.HttpClient;
	readonly #address: string;

	constructor(client: httpClient.HttpClient, address: string) {
		super();
		this.#client = client;
		this.#address = address;
	}

	override async requestTicket(model: string, runner: string) {
		return call(
			this.#client,
			{
				service: 'weight store',
				address: this.#address,
				method: 'POST',
				path: '/weights/tickets',
				body: {model, runner},
			},
			platformServices.weightTicketSchema,
		);
	}
}
