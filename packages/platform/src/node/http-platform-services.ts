/** VM list, directory and weight store over HTTP and JSON. */
import * as zod from 'zod';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as platformServices from '../common/platform-services.js';
import * as jsonCall from './json-call.js';

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
		const answer = await jsonCall.callJson(
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
		const answer = await jsonCall.callJson(
			this.#client,
			{service: 'directory', address: this.#address, method: 'GET', path: '/directory', signal},
			schema,
		);
		return answer.entries;
	}

	override async publish(failureDomain: string, entries: platformServices.DirectoryEntry[]) {
		const path = `/directory/${encodeURIComponent(failureDomain)}`;
		await jsonCall.callJson(
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
		return jsonCall.callJson(
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
