/** Starts a whole deployment for a test and sends requests to it. */
import * as random from '@hawthornfront/base/common/random.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as entryList from '@hawthornfront/entry/common/entry-list.js';
import * as catalogueEdit from '../node/catalogue-edit.js';
import * as deployment from '../node/deployment.js';
import * as shape from '../node/shape.js';

const maxAnswerBytes = 4_194_304;
const seed = 7;
const checkPeriodMs = 20;
const conditionLimitMs = 15_000;

export type Harness = {
	system: deployment.Deployment;
	/** Entry VMs of a region. */
	entryVms(region: shape.Region): deployment.EntryVm[];
	send(options: SendOptions): Promise<Answer>;
	/** A fresh idempotency key of one entry VM. */
	takeKey(address: string): Promise<string>;
	/** Waits for a condition. @throws Error when it does not come true. */
	until(condition: () => boolean, what: string): Promise<void>;
	close(): Promise<void>;
};

export type SendOptions = {
	address: string;
	path: string;
	method?: string;
	team?: string;
	headers?: Record<string, string>;
	body?: string;
	signal?: AbortSignal;
};

export type Answer = {
	status: number;
	headers: Record<string, string>;
	text: string;
	problem: gatewayError.Problem | undefined;
};

const upstreamPlaces = (system: deployment.Deployment): shape.UpstreamPlace[] => [
	...system.runners.map(({name, region, standin}) => ({
		name,
		region,
		address: standin.address,
		service: false,
	})),
	...system.services.map(({name, region, standin}) => ({
		name,
		region,
		address: standin.address,
		service: true,
	})),
];

/** Starts a deployment and waits until it is ready. */
export const startHarness = async (): Promise<Harness> => {
	const numbers = random.createRandom(seed);
	const clock = new systemClock.SystemClock();
	const system = await deployment.startDeployment({
		clock,
		random: numbers.fork(),
		logger: log.createSilentLogger(),
	});
	const records = shape.catalogueRecords(upstreamPlaces(system));
	await catalogueEdit.editCatalogue(system, numbers.fork(), [], records);
	await deployment.waitUntilReady(system);
	const regionOf = (address: string) =>
		system.entryVms.find((entryVm) => entryVm.daemon.address === address)!.region;

	const send = async (options: SendOptions): Promise<Answer> => {
		const answer = await system.callerClient(regionOf(options.address)).request({
			peer: options.address,
			method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
			path: options.path,
			headers: {
				authorization: `Bearer ${shape.apiKey(options.team ?? shape.team)}`,
				...options.headers,
			},
			body: options.body,
			signal: options.signal,
		});
		const text = await httpClient.readText(answer.body, maxAnswerBytes);
		const isProblem = answer.headers['content-type']?.startsWith('application/problem+json');
		return {
			status: answer.status,
			headers: answer.headers,
			text,
			problem: isProblem ? gatewayError.problemSchema.parse(JSON.parse(text)) : undefined,
		};
	};

	return {
		system,
		entryVms: (region) => system.entryVms.filter((entryVm) => entryVm.region === region),
		send,
		async takeKey(address) {
			const answer = await send({address, path: '/v1/entries'});
			return entryList.entryListSchema.parse(JSON.parse(answer.text)).idempotencyKeys[0]!;
		},
		async until(condition, what) {
			const limitAtMs = clock.nowMs() + conditionLimitMs;
			while (!condition()) {
				if (clock.nowMs() > limitAtMs) {
					throw new Error(`timed out waiting until ${what}`);
				}

				await clock.sleep(checkPeriodMs);
			}
		},
		async close() {
			await system.close();
		},
	};
};
