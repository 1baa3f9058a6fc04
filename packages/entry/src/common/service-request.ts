/** Handles `/v1/services/{entry}/{path}`: calls of plain services. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as attemptSources from './attempt-sources.js';
import type * as callerRequest from './caller-request.js';
import * as deadline from './deadline.js';
import type * as engineServices from './engine-services.js';
import * as requestContext from './request-context.js';
import * as requestHeaders from './request-headers.js';
import * as serviceAnswer from './service-answer.js';
import * as serviceAttempts from './service-attempts.js';

/** Path prefix of plain services. */
export const servicePrefix = '/v1/services/';

/** Token estimate of one call; services do not count tokens. */
const tokensPerCall = 1;

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

const forwardToOwner = async (
	call: serviceAttempts.ServiceCall,
	address: string,
): Promise<serviceAnswer.BufferedAnswer> => {
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

const fingerprintOf = (call: serviceAttempts.ServiceCall): string => {
	const {context, services} = call;
	const bodyDigest = services.digests.sha256(new TextDecoder('latin1').decode(call.body));
	return services.digests.sha256(
		`${context.team.name} ${context.entry.name} ${context.request.method} ${call.path} ${bodyDigest}`,
	);
};

/** Applies limits to a keyed request at the owner of the key; only the owner can refuse it with a certain outcome. */
const admitKeyed = (
	call: serviceAttempts.ServiceCall,
	key: string,
	fingerprint: string,
): engineServices.Admission | undefined => {
	const {services, context} = call;
	try {
		return services.limits.admit(context.team, context.entry, tokensPerCall);
	} catch (error) {
		const refusal = services.keyedExecution.refuse(key, fingerprint);
		if (!refusal || !(error instanceof gatewayError.GatewayException)) {
			// The key was received earlier, so its record determines the outcome.
			return undefined;
		}

		throw new gatewayError.GatewayException({...error.error, ...refusal});
	}
};

const runAsOwner = async (
	call: serviceAttempts.ServiceCall,
	key: string,
	fingerprint: string,
): Promise<serviceAnswer.BufferedAnswer> => {
	const {services, item} = call;
	const admitted = admitKeyed(call, key, fingerprint);
	// Repeated requests can join this execution, so it continues when this caller disconnects.
	const limit = deadline.createDeadlineSignal(services.clock, item.deadlineAtMs);
	const shared = {...call, signal: limit.signal};
	const reservation = serviceAttempts.createSlotReservation(shared);
	try {
		return await services.keyedExecution.run(
			key,
			fingerprint,
			async (markSent) =>
				serviceAnswer.requireBuffered(
					await serviceAttempts.runWithRetries(shared, markSent, reservation),
				),
			async () => reservation.acquire(),
		);
	} finally {
		limit.dispose();
		reservation.release();
		admitted?.release();
	}
};

/** Runs a non-idempotent request under its key, here or at the daemon that owns the key. */
const runWithKey = async (
	call: serviceAttempts.ServiceCall,
	key: string,
): Promise<serviceAnswer.BufferedAnswer> => {
	const {services, context} = call;
	const owner = services.keyedExecution.ownerOf(key);
	const fingerprint = fingerprintOf(call);
	if (owner.kind === 'self') {
		return runAsOwner(call, key, fingerprint);
	}

	// At most one forward: a forwarded request whose owner is yet another daemon is resolved here.
	if (owner.kind === 'gone' || context.request.isForwarded) {
		return services.keyedExecution.resolve(key, fingerprint);
	}

	const {signal} = context.request;
	const limit = deadline.createDeadlineSignal(services.clock, call.item.deadlineAtMs, signal);
	try {
		return await forwardToOwner({...call, signal: limit.signal}, owner.address);
	} catch (error) {
		if (signal.aborted) {
			// Resolving could seal the key while its owner is still running the request.
			throw error;
		}

		return await services.keyedExecution.resolve(key, fingerprint);
	} finally {
		limit.dispose();
	}
};

const createCall = async (
	services: engineServices.EngineServices,
	context: requestContext.EntryContext,
	path: string,
): Promise<serviceAttempts.ServiceCall> => {
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

const runWithoutKey = async (
	call: serviceAttempts.ServiceCall,
): Promise<serviceAnswer.ServiceAnswer> => {
	const {services, context} = call;
	const admitted = services.limits.admit(context.team, context.entry, tokensPerCall);
	const limit = deadline.createDeadlineSignal(
		services.clock,
		call.item.deadlineAtMs,
		context.request.signal,
	);
	try {
		return await serviceAttempts.runWithRetries({...call, signal: limit.signal});
	} finally {
		limit.dispose();
		admitted.release();
	}
};

/**
 * Runs `work`. If the request has a key, a refusal with the outcome `not-run` becomes
 * `unknown`: an earlier copy of the request may have run at another daemon.
 */
const withUncertainOutcome = async <T>(
	key: string | undefined,
	work: () => Promise<T>,
): Promise<T> => {
	try {
		return await work();
	} catch (error) {
		throw key === undefined ? error : serviceAttempts.adjustOutcome(error, true);
	}
};

const runAndCount = async (
	services: engineServices.EngineServices,
	call: serviceAttempts.ServiceCall,
	key: string | undefined,
): Promise<callerRequest.CallerResponse> => {
	const {entry} = call.context;
	let result = 'unknown';
	services.repetition.noteRequest({
		workClass: entry.workClass,
		isIdempotent: entry.idempotent,
	});
	try {
		const answer = await (key === undefined ? runWithoutKey(call) : runWithKey(call, key));
		result = 'answered';
		const latencyMs = services.clock.nowMs() - call.context.arrivedAtMs;
		services.counters.observeAnswer(entry.workClass, latencyMs);
		return {
			status: answer.status,
			headers: requestHeaders.headersForCaller(answer.headers),
			body: answer.body,
			deadlineAtMs: call.item.deadlineAtMs,
		};
	} catch (error) {
		result = error instanceof gatewayError.GatewayException ? error.error.outcome : 'unknown';
		throw error;
	} finally {
		services.counters.countRequest(entry.workClass, result);
	}
};

/** Handles a call of a plain service. @throws GatewayException */
export const handleService = async (
	services: engineServices.EngineServices,
	request: callerRequest.CallerRequest,
): Promise<callerRequest.CallerResponse> => {
	const {entryName, path} = parsePath(request.path);
	const keyHeader = request.headers[requestHeaders.idempotencyKeyHeader];
	const call = await withUncertainOutcome(keyHeader, async () => {
		const options = {isAcceptedWhileStopping: keyHeader !== undefined};
		const opened = requestContext.openContext(services, request, options);
		const context = requestContext.withEntry(services, opened, entryName);
		if (context.entry.target.kind !== 'service') {
			throw requestContext.badRequest(`entry "${entryName}" does not lead to a plain service`);
		}

		return createCall(services, context, path);
	});
	const key = call.context.entry.idempotent ? undefined : keyHeader;
	return runAndCount(services, call, key);
};
