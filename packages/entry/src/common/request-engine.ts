/** Routes caller requests to their handlers and converts errors to problem details. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as iteration from '@hawthornfront/base/common/iteration.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import * as callerRequest from './caller-request.js';
import * as deadline from './deadline.js';
import type * as engineServices from './engine-services.js';
import type * as entryList from './entry-list.js';
import * as modelRequest from './model-request.js';
import * as problemResponse from './problem-response.js';
import * as requestContext from './request-context.js';
import * as serviceRequest from './service-request.js';

const entryListTimeToLiveMs = 10_000;
const keysPerEntryList = 4;
/** Leaves a caller that reads without delay enough time to receive the deadline error itself. */
const expiryGraceMs = 1000;

/** Handles requests; `inFlight` counts requests whose answer is unfinished. */
export type RequestEngine = {
	handle(request: callerRequest.CallerRequest): Promise<callerRequest.CallerResponse>;
	inFlight(): number;
};

const notFound = (path: string): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'not-found',
		step: 'before-admission',
		peer: '',
		outcome: 'not-run',
		detail: `there is nothing at ${path}`,
	});

const handleEntries = (
	services: engineServices.EngineServices,
	request: callerRequest.CallerRequest,
): callerRequest.CallerResponse => {
	const {team} = requestContext.openContext(services, request);
	const list: entryList.EntryList = {
		region: services.region,
		entries: services.orderedEntryVms(team.name),
		timeToLiveMs: entryListTimeToLiveMs,
		idempotencyKeys: services.keyedExecution.issue(keysPerEntryList),
	};
	return callerRequest.jsonResponse(200, list, {'cache-control': 'no-store'});
};

const handleModels = (
	services: engineServices.EngineServices,
	request: callerRequest.CallerRequest,
): callerRequest.CallerResponse => {
	const {team, current} = requestContext.openContext(services, request);
	const data = snapshot
		.entriesOf(current, team.owner)
		.filter((entry) => entry.target.kind === 'model')
		.map((entry) => ({id: entry.name, object: 'model', created: 0, owned_by: entry.owner}));
	return callerRequest.jsonResponse(200, {object: 'list', data});
};

/** Removes the query and limits the length, so that the path can be logged and returned to callers. */
const safePath = (path: string): string => path.split('?')[0]!.slice(0, 100);

const route = async (
	services: engineServices.EngineServices,
	request: callerRequest.CallerRequest,
): Promise<callerRequest.CallerResponse> => {
	const path = safePath(request.path);
	const target = `${request.method} ${path}`;
	switch (target) {
		case 'POST /v1/chat/completions': {
			return modelRequest.handleModel(services, request, true);
		}

		case 'POST /v1/completions': {
			return modelRequest.handleModel(services, request, false);
		}

		case 'GET /v1/models': {
			return handleModels(services, request);
		}

		case 'GET /v1/entries': {
			return handleEntries(services, request);
		}

		default: {
			if (path.startsWith(serviceRequest.servicePrefix)) {
				return serviceRequest.handleService(services, request);
			}

			throw notFound(path);
		}
	}
};

const isStream = (
	body: callerRequest.CallerResponse['body'],
): body is AsyncIterable<Uint8Array | string> =>
	typeof body === 'object' && Symbol.asyncIterator in body;

/** Creates the engine. Its only state is the number of requests in flight. */
export const createRequestEngine = (services: engineServices.EngineServices): RequestEngine => {
	let inFlight = 0;

	/** Counts a streamed answer as in flight until it ends, and closes it at its deadline. */
	const limitStream = (
		answer: callerRequest.CallerResponse,
		stream: AsyncIterable<Uint8Array | string>,
	): callerRequest.CallerResponse => {
		const {clock} = services;
		const limit = deadline.createDeadlineSignal(
			clock,
			(answer.deadlineAtMs ?? clock.nowMs()) + expiryGraceMs,
		);
		const body = iteration.withCleanUp(stream[Symbol.asyncIterator](), () => {
			inFlight--;
			limit.dispose();
		});
		limit.signal.addEventListener('abort', () => {
			void body.return?.();
		});
		return {...answer, body, expired: limit.signal};
	};

	return {
		inFlight: () => inFlight,
		async handle(request) {
			inFlight++;
			let isStreaming = false;
			try {
				const answer = await route(services, request);
				if (!isStream(answer.body)) {
					return answer;
				}

				isStreaming = true;
				return limitStream(answer, answer.body);
			} catch (error) {
				const known = problemResponse.toGatewayError(error);
				services.counters.countRequest('none', known.kind);
				return problemResponse.problemResponse(known);
			} finally {
				if (!isStreaming) {
					inFlight--;
				}
			}
		},
	};
};
