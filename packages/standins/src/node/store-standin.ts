/** Stand-in of the platform's key-value store: `POST /kv/{operation}`. */
import * as buffer from 'node:buffer';
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as randomModule from '@hawthornfront/base/common/random.js';
import * as h3 from 'h3';
import * as zod from 'zod';
import * as storeModel from '../common/store-model.js';
import * as standinServer from './standin-server.js';

const keySchema = zod.string().min(1);
const revisionSchema = zod.number().int().nonnegative();

const requestSchemas = {
	get: zod.object({key: keySchema}),
	list: zod.object({prefix: zod.string()}),
	'compare-and-swap': zod.object({
		key: keySchema,
		value: zod.string(),
		expectedRevision: revisionSchema,
		leaseId: zod.string().optional(),
	}),
	'compare-and-delete': zod.object({key: keySchema, expectedRevision: revisionSchema}),
	watch: zod.object({key: keySchema, afterRevision: revisionSchema, waitMs: zod.number().min(0)}),
	'grant-lease': zod.object({ttlMs: zod.number().positive()}),
	'renew-lease': zod.object({leaseId: zod.string()}),
	'revoke-lease': zod.object({leaseId: zod.string()}),
};

export type StoreOperation = keyof typeof requestSchemas;

const readOperations = new Set<StoreOperation>(['get', 'list', 'watch']);

export type StoreFaults = {
	/** Every call is reset without taking effect. */
	isDown: boolean;
	/** Added before a call takes effect. */
	slowMs: number;
	/** Answers of the next writes to lose after the write took effect. */
	loseAnswers: number;
	/** Probability that the answer of a write is lost after it took effect. */
	loseAnswerProbability: number;
	/** `get` and `list` see the state of this long ago. */
	staleReadMs: number;
};

export type StoreCounts = {
	/** Calls received, by operation; a waiting watch is one call. */
	calls: Record<StoreOperation, number>;
	lostAnswers: number;
	readonly waitingWatches: number;
};

export type StoreStandin = {
	readonly address: string;
	readonly faults: StoreFaults;
	readonly counts: StoreCounts;
	/** State, for seeding and for assertions; these reads are not counted. */
	readonly model: storeModel.StoreModel;
	close(): Promise<void>;
};

const createCounts = (model: storeModel.StoreModel): StoreCounts => ({
	calls: {
		get: 0,
		list: 0,
		'compare-and-swap': 0,
		'compare-and-delete': 0,
		watch: 0,
		'grant-lease': 0,
		'renew-lease': 0,
		'revoke-lease': 0,
	},
	lostAnswers: 0,
	get waitingWatches() {
		return model.waitingWatches;
	},
});

type Result = {status: number; value: unknown};

type Perform = (body: unknown, signal: AbortSignal) => Result | Promise<Result>;

const ok = (value: unknown): Result => ({status: 200, value});

const createOperations = (
	model: storeModel.StoreModel,
	faults: StoreFaults,
): Record<StoreOperation, Perform> => ({
	get(body) {
		const {key} = requestSchemas.get.parse(body);
		return ok({found: model.get(key, faults.staleReadMs)});
	},
	list(body) {
		const {prefix} = requestSchemas.list.parse(body);
		return ok({keys: model.list(prefix, faults.staleReadMs)});
	},
	'compare-and-swap'(body) {
		const {key, value, expectedRevision, leaseId} = requestSchemas['compare-and-swap'].parse(body);
		if (buffer.Buffer.byteLength(value) > storeModel.maxValueBytes) {
			return {
				status: 413,
				value: {error: `value is longer than ${storeModel.maxValueBytes} bytes`},
			};
		}

		const result = model.compareAndSwap(key, value, expectedRevision, leaseId);
		return result ? ok(result) : {status: 404, value: {error: 'the lease has ended'}};
	},
	'compare-and-delete'(body) {
		const {key, expectedRevision} = requestSchemas['compare-and-delete'].parse(body);
		return ok({deleted: model.compareAndDelete(key, expectedRevision)});
	},
	async watch(body, signal) {
		const {key, afterRevision, waitMs} = requestSchemas.watch.parse(body);
		return ok({found: await model.watch(key, afterRevision, waitMs, signal)});
	},
	'grant-lease'(body) {
		return ok(model.grantLease(requestSchemas['grant-lease'].parse(body).ttlMs));
	},
	'renew-lease'(body) {
		return ok({renewed: model.renewLease(requestSchemas['renew-lease'].parse(body).leaseId)});
	},
	'revoke-lease'(body) {
		model.revokeLease(requestSchemas['revoke-lease'].parse(body).leaseId);
		return ok({});
	},
});

/** Starts a store. */
export const createStoreStandin = async (options: {
	clock: clockModule.Clock;
	seed: number;
	settings?: Partial<standinServer.ListenSettings>;
}): Promise<StoreStandin> => {
	const {clock} = options;
	const random = randomModule.createRandom(options.seed);
	const model = storeModel.createStoreModel(clock);
	const counts = createCounts(model);
	const faults: StoreFaults = {
		isDown: false,
		slowMs: 0,
		loseAnswers: 0,
		loseAnswerProbability: 0,
		staleReadMs: 0,
	};
	const operations = createOperations(model, faults);
	const losesAnswer = () => {
		if (faults.loseAnswers > 0) {
			faults.loseAnswers--;
			return true;
		}

		return faults.loseAnswerProbability > 0 && random.next() < faults.loseAnswerProbability;
	};

	const serve = async (operation: StoreOperation, exchange: standinServer.Exchange) => {
		counts.calls[operation]++;
		if (faults.slowMs > 0) {
			await clock.sleep(faults.slowMs, exchange.signal);
		}

		if (faults.isDown) {
			standinServer.resetConnection(exchange);
			return;
		}

		const body = standinServer.jsonBody(exchange);
		if (!requestSchemas[operation].safeParse(body).success) {
			standinServer.answerJson(exchange, 400, {error: `wrong body for ${operation}`});
			return;
		}

		const result = await operations[operation](body, exchange.signal);
		if (!readOperations.has(operation) && losesAnswer()) {
			counts.lostAnswers++;
			standinServer.resetConnection(exchange);
			return;
		}

		standinServer.answerJson(exchange, result.status, result.value);
	};

	const app = new h3.H3();
	for (const operation of Object.keys(requestSchemas) as StoreOperation[]) {
		standinServer.addRoute(app, 'POST', `/kv/${operation}`, async (exchange) =>
			serve(operation, exchange),
		);
	}

	const server = await standinServer.createStandinServer(app, {
		...standinServer.defaultListen,
		...options.settings,
	});
	return {
		address: server.address,
		faults,
		counts,
		model,
		async close() {
			model.dispose();
			await server.close();
		},
	};
};
