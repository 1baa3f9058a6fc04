/** Handles `/v1/services/{entry}/{path}`: calls of plain services. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import * as attemptSources from './attempt-sources.js';
import type * as callerRequest from './caller-request.js';
import * as deadline from './deadline.js';
import type * as engineServices from './engine-services.js';
import * as oldSetup from './old-setup.js';
import * as requestContext from './request-context.js';
import * as requestHeaders from './request-headers.js';
import * as serviceAnswer from './service-answer.js';

/** Path prefix of plain services. */
export const servicePrefix = '/v1/services/';

/** Estimate for one call; services have no tokens. */
const tokensPerCall = 1;
const maxAttempts = 3;

type ServicePath = {entryName: string; path: string};

const parsePath = (path: string): ServicePath => {
	const rest = path.slice(servicePrefix.length);
	const separator = rest.search(/[/?]/u);
	if (separator === -1) {
		return {entryName: rest, path: '/'};
	}

	const tail = rest.slice(separator);
	return {entryName: rest.slice(0, separator), path: tail.startsWith('/') ? tail : `/${tail}`};
};

type Call = {
	services: engineServices.EngineServices;
	context: requestContext.EntryContext;
	path: string;
	body: Uint8Array;
	item: types.WorkItem;
	signal: AbortSignal;
};

const attemptAt = async (
	call: Call,
	address: string,
	onSent?: () => void,
): Promise<serviceAnswer.WholeAnswer> => {
	const {services, context} = call;
	return serviceAnswer.callService(services.httpClient, {
		address,
		method: context.request.method,
		path: call.path,
		headers: requestHeaders.headersForService(context.request.headers, services.cdnLoopIdentifier),
		body: call.body,
		timeoutMs: Math.max(1, call.item.deadlineAtMs - services.clock.nowMs()),
		signal: call.signal,
		onSent,
	});
};

const runAtOldSetup = async (
	call: Call,
	onSent?: () => void,
): Promise<serviceAnswer.WholeAnswer | undefined> => {
	const upstream = oldSetup.chooseOldSetup(call.services.digests, call.context);
	return upstream && attemptAt(call, upstream.address, onSent);
};

/** One attempt at an upstream that the scheduler chooses. */
const runOnce = async (
	call: Call,
	excluded: Set<string>,
	onSent?: () => void,
): Promise<serviceAnswer.WholeAnswer> => {
	const assignment = await call.services.scheduler.acquire({...call.item, excluded}, call.signal);
	try {
		const answer = await attemptAt(call, assignment.upstream.address, onSent);
		assignment.noteFirstToken();
		assignment.release('answered');
		return answer;
	} catch (error) {
		assignment.release('failed');
		excluded.add(assignment.upstream.name);
		throw error;
	}
};

/** Whether a failed attempt may be followed by another. Non-idempotent work only while no byte has left. */
const mayTryAgain = (call: Call, error: unknown): boolean => {
	if (!(error instanceof gatewayError.GatewayException) || error.error.kind !== 'upstream-failed') {
		return false;
	}

	const {entry} = call.context;
	const isSafe = entry.idempotent || error.error.outcome === 'not-run';
	return isSafe && call.services.repetition.mayRetry(entry.workClass);
};

/** An error that follows an attempt which may have run cannot say `not-run`. */
const withOutcome = (error: unknown, mayHaveRun: boolean): unknown =>
	mayHaveRun && error instanceof gatewayError.GatewayException && error.error.outcome === 'not-run'
		? new gatewayError.GatewayException({...error.error, outcome: 'unknown'})
		: error;

const runWithRetries = async (
	call: Call,
	onSent?: () => void,
): Promise<serviceAnswer.WholeAnswer> => {
	const excluded = new Set<string>();
	let mayHaveRun = false;
	for (let attempts = 1; ; attempts++) {
		try {
			const old = attempts === 1 ? await runAtOldSetup(call, onSent) : undefined;
			return old ?? (await runOnce(call, excluded, onSent));
		} catch (error) {
			const isKnown = error instanceof gatewayError.GatewayException;
			mayHaveRun ||= !isKnown || error.error.outcome !== 'not-run';
			if (attempts >= maxAttempts || !mayTryAgain(call, error)) {
				throw withOutcome(error, mayHaveRun);
			}
		}
	}
};

const forwardToOwner = async (call: Call, address: string): Promise<serviceAnswer.WholeAnswer> => {
	const {services, context} = call;
	const {request} = context;
	return serviceAnswer.callService(services.httpClient, {
		address,
		method: request.method,
		path: attemptSources.forwardPrefix + request.path,
		headers: {
			...Object.fromEntries(
				Object.entries(request.headers).filter(
					([name]) => name !== 'content-length' && name !== 'host' && name !== 'connection',
				),
			),
			...services.clusterHeaders,
			[requestHeaders.cdnLoopHeader]: requestHeaders.appendCdnLoop(
				request.headers[requestHeaders.cdnLoopHeader],
				services.cdnLoopIdentifier,
			),
			[requestHeaders.requestTimeoutHeader]: String(
				Math.max(1, Math.ceil(call.item.deadlineAtMs - services.clock.nowMs())),
			),
		},
		body: call.body,
		timeoutMs: Math.max(1, call.item.deadlineAtMs - services.clock.nowMs()),
		signal: call.signal,
	});
};

const unwrap = (
	result: Exclude<engineServices.KeyedResult, {kind: 'forward'}>,
): serviceAnswer.WholeAnswer => {
	if (result.kind === 'failed') {
		throw new gatewayError.GatewayException(result.error);
	}

	return result.answer;
};

const loopOfForwards = (): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'loop-detected',
		step: 'before-admission',
		peer: '',
		outcome: 'unknown',
		detail: 'the owner of the key is another daemon again after one forward',
	});

/** Runs a non-idempotent request under its key, here or at the owner of the key. */
const runWithKey = async (call: Call, key: string): Promise<serviceAnswer.WholeAnswer> => {
	const {services, context} = call;
	const {request} = context;
	const bodyDigest = services.digests.sha256(new TextDecoder('latin1').decode(call.body));
	const fingerprint = services.digests.sha256(
		`${context.team.name} ${context.entry.name} ${request.method} ${call.path} ${bodyDigest}`,
	);
	const result = await services.keyedExecution.run(key, fingerprint, async (markSent) =>
		runWithRetries(call, markSent),
	);
	if (result.kind !== 'forward') {
		return unwrap(result);
	}

	if (request.isForwarded) {
		throw loopOfForwards();
	}

	try {
		return await forwardToOwner(call, result.address);
	} catch {
		const resolved = await services.keyedExecution.resolve(key, fingerprint);
		if (resolved.kind === 'forward') {
			throw loopOfForwards();
		}

		return unwrap(resolved);
	}
};

const createCall = async (
	services: engineServices.EngineServices,
	context: requestContext.EntryContext,
	path: string,
): Promise<Call> => {
	const {entry, team, request, arrivedAtMs} = context;
	const timeout = request.headers[requestHeaders.requestTimeoutHeader];
	return {
		services,
		context,
		path,
		body: await request.readBody(entry.limits.maxBodyBytes),
		signal: request.signal,
		item: {
			workClass: entry.workClass,
			team: team.name,
			model: entry.target.kind === 'service' ? entry.target.service : '',
			estimatedTokens: tokensPerCall,
			deadlineAtMs: deadline.deadlineOf(entry, timeout, arrivedAtMs),
			canBePreempted: false,
			excluded: new Set(),
			weight: team.weight,
		},
	};
};

const run = async (call: Call): Promise<serviceAnswer.WholeAnswer> => {
	const {entry, request} = call.context;
	const key = request.headers[requestHeaders.idempotencyKeyHeader];
	call.services.repetition.noteRequest(entry.workClass);
	return entry.idempotent || key === undefined ? runWithRetries(call) : runWithKey(call, key);
};

/** Answers a call of a plain service. @throws GatewayException */
export const handleService = async (
	services: engineServices.EngineServices,
	request: callerRequest.CallerRequest,
): Promise<callerRequest.CallerResponse> => {
	const {entryName, path} = parsePath(request.path);
	const opened = requestContext.openContext(services, request);
	const context = requestContext.withEntry(services, opened, entryName);
	if (context.entry.target.kind !== 'service') {
		throw requestContext.badRequest(`entry "${entryName}" does not lead to a plain service`);
	}

	const call = await createCall(services, context, path);
	const admitted: engineServices.Admission = request.isForwarded
		? {settle() {}, release() {}}
		: services.limits.admit(context.team, context.entry, tokensPerCall);
	let result = 'unknown';
	try {
		const answer = await run(call);
		result = 'answered';
		services.counters.observeAnswer(
			context.entry.workClass,
			services.clock.nowMs() - context.arrivedAtMs,
		);
		return {
			status: answer.status,
			headers: requestHeaders.headersForCaller(answer.headers),
			body: answer.body,
		};
	} catch (error) {
		result = error instanceof gatewayError.GatewayException ? error.error.outcome : 'unknown';
		throw error;
	} finally {
		services.counters.countRequest(context.entry.workClass, result);
		admitted.release();
	}
};
