/**
 * Stand-in of a plain service such as booking or water orders: any method and
 * path. It records each execution, so that a test can prove at-most-once.
 */
import * as crypto from 'node:crypto';
import * as events from 'node:events';
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as h3 from 'h3';
import * as standinServer from './standin-server.js';

/** One execution of a request. */
export type Execution = {
	method: string;
	/** Path and query. */
	path: string;
	/** SHA-256 of the body, hexadecimal. */
	bodyDigest: string;
	idempotencyKey?: string;
	atMs: number;
};

export type ServiceFaults = {
	/** Added before execution. */
	slowMs: number;
	/** Answers 503 without executing. */
	refuse: boolean;
	/** Breaks the connection without executing. */
	resetBeforeExecuting: boolean;
	/** Executes, then breaks the connection without an answer. */
	resetAfterExecuting: boolean;
	/** Neither executes nor answers until the caller gives up. */
	hang: boolean;
	/** Executes at once and answers after this time. */
	answerLateMs: number;
	/** Still executes, and counts what it gets meanwhile. */
	leaving: boolean;
};

export type ServiceStandin = {
	readonly address: string;
	readonly faults: ServiceFaults;
	readonly counts: {
		received: number;
		receivedWhileLeaving: number;
		executed: number;
		refused: number;
	};
	readonly executions: Execution[];
	/** Executions of each body, by its digest. */
	executionsByBody(): Map<string, number>;
	/** Stops listening and resets all connections; new ones are refused. */
	crash(): Promise<void>;
	restart(): Promise<void>;
	close(): Promise<void>;
};

/** Digest under which an execution records its body. */
export const digestBody = (body: string | Uint8Array): string =>
	crypto.createHash('sha256').update(body).digest('hex');

const defaultServiceMs = 5;

/** Starts a plain service. */
export const createServiceStandin = async (options: {
	clock: clockModule.Clock;
	seed: number;
	settings?: Partial<standinServer.ListenSettings & {name: string; serviceMs: number}>;
}): Promise<ServiceStandin> => {
	const {clock, settings = {}} = options;
	const serviceMs = settings.serviceMs ?? defaultServiceMs;
	const faults: ServiceFaults = {
		slowMs: 0,
		refuse: false,
		resetBeforeExecuting: false,
		resetAfterExecuting: false,
		hang: false,
		answerLateMs: 0,
		leaving: false,
	};
	const counts = {received: 0, receivedWhileLeaving: 0, executed: 0, refused: 0};
	const executions: Execution[] = [];
	const closing = new AbortController();
	// Every request in progress listens to it.
	events.EventEmitter.setMaxListeners(0, closing.signal);

	const execute = (exchange: standinServer.Exchange): Execution => {
		const idempotencyKey = exchange.request.headers['idempotency-key'];
		const execution = {
			method: exchange.request.method ?? '',
			path: exchange.request.url ?? '',
			bodyDigest: digestBody(exchange.body),
			idempotencyKey: typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
			atMs: clock.nowMs(),
		};
		counts.executed++;
		executions.push(execution);
		return execution;
	};

	const serve = async (exchange: standinServer.Exchange) => {
		counts.received++;
		if (faults.leaving) {
			counts.receivedWhileLeaving++;
		}

		if (faults.refuse) {
			counts.refused++;
			exchange.response.setHeader('retry-after', '1');
			standinServer.answerJson(exchange, 503, {error: 'refused'});
			return;
		}

		if (faults.resetBeforeExecuting) {
			standinServer.resetConnection(exchange);
			return;
		}

		if (faults.hang) {
			return;
		}

		// Like a real service, it executes even when the caller has gone meanwhile.
		await clock.sleep(serviceMs + faults.slowMs, closing.signal);
		const execution = execute(exchange);
		if (faults.resetAfterExecuting) {
			standinServer.resetConnection(exchange);
			return;
		}

		if (faults.answerLateMs > 0) {
			await clock.sleep(faults.answerLateMs, exchange.signal);
		}

		standinServer.answerJson(exchange, 200, {
			service: settings.name ?? 'service',
			execution: counts.executed,
			bodyDigest: execution.bodyDigest,
		});
	};

	const app = new h3.H3();
	standinServer.addRoute(app, 'any', '/**', serve);
	const server = await standinServer.createStandinServer(app, {
		host: settings.host ?? standinServer.defaultListen.host,
		port: settings.port ?? standinServer.defaultListen.port,
	});
	return {
		address: server.address,
		faults,
		counts,
		executions,
		executionsByBody() {
			const byBody = new Map<string, number>();
			for (const {bodyDigest} of executions) {
				byBody.set(bodyDigest, (byBody.get(bodyDigest) ?? 0) + 1);
			}

			return byBody;
		},
		crash: server.stop,
		restart: server.start,
		async close() {
			closing.abort(new Error('the stand-in is closed'));
			await server.close();
		},
	};
};
