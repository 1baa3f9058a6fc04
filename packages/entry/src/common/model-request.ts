/** Handles `/v1/chat/completions` and `/v1/completions`. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as iteration from '@hawthornfront/base/common/iteration.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import * as admission from './admission.js';
import * as attemptSources from './attempt-sources.js';
import * as callerRequest from './caller-request.js';
import * as deadline from './deadline.js';
import type * as engineServices from './engine-services.js';
import * as modelAnswer from './model-answer.js';
import * as oldSetup from './old-setup.js';
import * as openai from './openai.js';
import * as requestContext from './request-context.js';
import * as requestHeaders from './request-headers.js';
import type * as runnerClient from './runner-client.js';

const defaultMaxBodyBytes = 1_048_576;

const priorityByClass: Record<schema.WorkClass, number> = {short: 0, service: 0, long: 10};

/** Largest body that any entry of the team allows; used when only the body names the entry. */
const maxBodyBytes = (context: requestContext.RequestContext): number => {
	const limits = snapshot
		.entriesOf(context.current, context.team.owner)
		.map((entry) => entry.limits.maxBodyBytes);
	return Math.max(defaultMaxBodyBytes, ...limits);
};

const parseBody = (bytes: Uint8Array, isChat: boolean): openai.ModelBody => {
	let value: unknown;
	try {
		value = JSON.parse(new TextDecoder().decode(bytes));
	} catch {
		throw requestContext.badRequest('the body is not valid JSON');
	}

	const schemaOfBody = isChat ? openai.chatBodySchema : openai.completionBodySchema;
	const result = schemaOfBody.safeParse(value);
	if (!result.success) {
		const [issue] = result.error.issues;
		const path = issue?.path.join('.') ?? '';
		throw requestContext.badRequest(`member "${path}" of the body: ${issue?.message ?? ''}`);
	}

	return result.data;
};

/** Reads the body if the headers allow it, and finds the catalogue entry. */
const readRequest = async (
	services: engineServices.EngineServices,
	context: requestContext.RequestContext,
	isChat: boolean,
): Promise<{context: requestContext.EntryContext; body: openai.ModelBody}> => {
	const name = context.request.headers[requestHeaders.entryHeader];
	const named = name === undefined ? undefined : requestContext.withEntry(services, context, name);
	if (!named) {
		const {current, team} = context;
		admission.checkBodyIsReadable(current, team, services.region, services.entryVmsOf);
	}

	const limitBytes = named?.entry.limits.maxBodyBytes ?? maxBodyBytes(context);
	const body = parseBody(await context.request.readBody(limitBytes), isChat);
	if (name !== undefined && body.model !== name) {
		throw requestContext.badRequest(
			`"model" and the header "${requestHeaders.entryHeader}" name different entries`,
		);
	}

	const found = named ?? requestContext.withEntry(services, context, body.model);
	if (found.entry.target.kind !== 'model') {
		throw requestContext.badRequest(`entry "${found.entry.name}" does not lead to a model`);
	}

	return {context: found, body};
};

type Plan = {
	context: requestContext.EntryContext;
	body: openai.ModelBody;
	item: types.WorkItem;
	promptBytes: number;
	promptTokens: number;
	identity: openai.AnswerIdentity;
	isChat: boolean;
	firstToken: number;
};

const maxTokensOf = (body: openai.ModelBody, entry: schema.Entry): number =>
	Math.min(
		body.max_completion_tokens ?? body.max_tokens ?? entry.limits.maxOutputTokens,
		entry.limits.maxOutputTokens,
	);

const createPlan = (
	services: engineServices.EngineServices,
	context: requestContext.EntryContext,
	body: openai.ModelBody,
	isChat: boolean,
): Plan => {
	const {entry, team, request} = context;
	const prompt = openai.promptText(body);
	const promptTokens = openai.estimatePromptTokens(prompt);
	const maxTokens = maxTokensOf(body, entry);
	const model = entry.target.kind === 'model' ? entry.target.model : '';
	const outputTokens = services.outputEstimator.estimateTokens(
		team.name,
		entry.workClass,
		maxTokens,
	);
	return {
		context,
		body: {...body, model, max_tokens: maxTokens},
		promptBytes: prompt.length,
		promptTokens,
		isChat,
		firstToken: request.isForwarded ? (body.resume_from_token ?? 0) : 0,
		identity: {
			id: `${isChat ? 'chatcmpl' : 'cmpl'}-${request.requestId}`,
			model: entry.name,
			createdAtSeconds: Math.floor(services.clock.wallMs() / 1000),
			isChat,
		},
		item: {
			workClass: entry.workClass,
			team: team.name,
			model,
			estimatedTokens: promptTokens + outputTokens,
			promptTokens,
			prefixHash: services.digests.sha256(openai.promptPrefix(prompt)),
			deadlineAtMs: deadline.deadlineOf(
				entry,
				request.headers[requestHeaders.requestTimeoutHeader],
				context.arrivedAtMs,
			),
			canBePreempted: entry.workClass === 'long' && entry.idempotent,
			canBeMigrated: entry.idempotent,
			excluded: new Set(),
			weight: team.weight,
		},
	};
};

const cannotResume = (plan: Plan): string[] =>
	snapshot
		.upstreamsFor(plan.context.current, plan.context.entry)
		.filter((upstream) => !upstream.resumesStreams)
		.map((upstream) => upstream.name);

const openAnswer = (
	services: engineServices.EngineServices,
	plan: Plan,
): AsyncGenerator<modelAnswer.AnswerPart> => {
	const {context, item} = plan;
	const {entry, request} = context;
	const {repetition} = services;
	let preemptions = 0;
	const sources = attemptSources.createAttemptSources(services, {
		context,
		item,
		promptBytes: plan.promptBytes,
		promptTokens: plan.promptTokens,
		oldSetup: oldSetup.chooseOldSetup(services.digests, context),
	});
	const candidate = {workClass: entry.workClass, isIdempotent: entry.idempotent};
	repetition.noteRequest(candidate);
	return modelAnswer.streamAnswer(
		{
			clock: services.clock,
			client: services.runnerClient,
			settings: services.attemptSettings,
		},
		{
			requestId: request.requestId,
			body: plan.body,
			priority: priorityByClass[entry.workClass],
			firstToken: plan.firstToken,
			isIdempotent: entry.idempotent,
			deadlineAtMs: item.deadlineAtMs,
			signal: request.signal,
			acquire: async (excluded, nextToken, signal) =>
				sources.acquire({excluded, preemptions, isFirst: nextToken === plan.firstToken, signal}),
			acquireHedge: (excluded) => sources.acquireHedge(excluded),
			hedgeDelayMs: () => repetition.hedgeDelayMs(candidate),
			tryRetry: () => repetition.tryRetry(entry.workClass),
			cannotResume: () => cannotResume(plan),
			noteHedge(winner) {
				services.counters.countHedge(winner);
			},
			noteResume() {
				preemptions++;
				services.counters.countResume();
			},
		},
	);
};

/** Yields the parts of the answer and settles limits and counters when the request ends, also after an error. */
async function* streamWithAccounting(
	services: engineServices.EngineServices,
	plan: Plan,
	admitted: engineServices.Admission,
): AsyncGenerator<modelAnswer.AnswerPart> {
	const {context} = plan;
	const {workClass} = context.entry;
	let tokens = 0;
	let result = 'cancelled';
	try {
		for await (const part of openAnswer(services, plan)) {
			if (part.kind === 'token' && tokens++ === 0) {
				const latencyMs = services.clock.nowMs() - context.arrivedAtMs;
				services.counters.observeFirstToken(workClass, latencyMs);
			}

			if (part.kind === 'finish') {
				result = 'answered';
				services.outputEstimator.noteTokens(context.team.name, workClass, tokens);
				services.counters.observeAnswer(workClass, services.clock.nowMs() - context.arrivedAtMs);
			}

			yield part;
		}
	} catch (error) {
		result = error instanceof gatewayError.GatewayException ? error.error.outcome : 'unknown';
		throw error;
	} finally {
		services.counters.countRequest(workClass, result);
		admitted.settle(result === 'not-run' ? 0 : plan.promptTokens + tokens);
		admitted.release();
	}
}

const toEvents = (
	plan: Plan,
	first: modelAnswer.AnswerPart,
	rest: AsyncGenerator<modelAnswer.AnswerPart>,
): AsyncIterableIterator<string> => {
	const withUsage =
		plan.context.request.isForwarded || plan.body.stream_options?.include_usage === true;
	return iteration.mapAsync(iteration.withFirst(first, rest), (part) =>
		part.kind === 'token'
			? openai.tokenEvent(plan.identity, part)
			: openai.finishEvents(plan.identity, part, withUsage),
	);
};

const collectAnswer = async (
	plan: Plan,
	parts: AsyncGenerator<modelAnswer.AnswerPart>,
): Promise<callerRequest.CallerResponse> => {
	const texts: string[] = [];
	let finish: runnerClient.FinishPart | undefined;
	for await (const part of parts) {
		if (part.kind === 'token') {
			texts.push(part.text);
		} else {
			finish = part;
		}
	}

	if (!finish) {
		throw new Error('the answer ended without a finish part');
	}

	return callerRequest.jsonResponse(
		200,
		openai.completionBody(plan.identity, texts.join(''), finish),
	);
};

/** Handles a model request, streamed or not. @throws GatewayException */
export const handleModel = async (
	services: engineServices.EngineServices,
	request: callerRequest.CallerRequest,
	isChat: boolean,
): Promise<callerRequest.CallerResponse> => {
	const opened = requestContext.openContext(services, request);
	const {context, body} = await readRequest(services, opened, isChat);
	const plan = createPlan(services, context, body, isChat);
	services.demand.add(plan.item.model, plan.item.estimatedTokens);
	const admitted: engineServices.Admission = request.isForwarded
		? {settle() {}, release() {}}
		: services.limits.admit(context.team, context.entry, plan.item.estimatedTokens);
	const parts = streamWithAccounting(services, plan, admitted);
	if (!body.stream) {
		return collectAnswer(plan, parts);
	}

	// The status is sent after the first part, so that an earlier failure can still be sent as an error status.
	const first = await parts.next();
	if (first.done) {
		throw new Error('the answer ended without a finish part');
	}

	return {
		status: 200,
		headers: {'content-type': 'text/event-stream', 'cache-control': 'no-store'},
		body: toEvents(plan, first.value, parts),
		deadlineAtMs: plan.item.deadlineAtMs,
	};
};
