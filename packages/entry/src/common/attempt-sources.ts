/** Selects where a model request runs: another region, the old setup, or an upstream of this region. */
import type * as event from '@hawthornfront/base/common/event.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import type * as attempt from './attempt.js';
import type * as engineServices from './engine-services.js';
import type * as requestContext from './request-context.js';
import * as requestHeaders from './request-headers.js';

/** Path prefix under which daemons accept forwarded requests. */
export const forwardPrefix = '/internal/forward';

export type SourceRequest = {
	context: requestContext.EntryContext;
	item: types.WorkItem;
	promptBytes: number;
	promptTokens: number;
	/** Upstream of the old setup, if it serves this request. */
	oldSetup: schema.Upstream | undefined;
};

export type AcquireOptions = {
	excluded: ReadonlySet<string>;
	preemptions: number;
	/** True until a token has been delivered. */
	isFirst: boolean;
	/** Aborts the wait. */
	signal: AbortSignal;
};

export type AttemptSources = {
	acquire(options: AcquireOptions): Promise<attempt.AttemptSource>;
	acquireHedge(excluded: ReadonlySet<string>): attempt.AttemptSource | undefined;
};

const regionName = (region: string): string => `region:${region}`;

const neverFires: event.Event<void> = () => ({dispose() {}});

/** Creates the sources of one request. */
export const createAttemptSources = (
	services: engineServices.EngineServices,
	details: SourceRequest,
): AttemptSources => {
	const {context, item} = details;
	const {request} = context;
	const path = request.path.split('?')[0]!;
	const loopHeader = {
		[requestHeaders.cdnLoopHeader]: requestHeaders.appendCdnLoop(
			request.headers[requestHeaders.cdnLoopHeader],
			services.cdnLoopIdentifier,
		),
	};

	const localSource = (assignment: types.Assignment): attempt.AttemptSource => {
		const dispatchedAtMs = services.clock.nowMs();
		let isLatencyKnown = false;
		const noteLatency = () => {
			if (!isLatencyKnown) {
				isLatencyKnown = true;
				services.repetition.noteLatency(item.workClass, services.clock.nowMs() - dispatchedAtMs);
			}
		};

		return {
			name: assignment.upstream.name,
			address: assignment.upstream.address,
			path,
			headers: loopHeader,
			onDidPreempt: assignment.onDidPreempt,
			noteFirstToken() {
				noteLatency();
				assignment.noteFirstToken();
			},
			noteTokens(count) {
				assignment.noteTokens(count);
			},
			release(result) {
				if (result === 'cancelled') {
					noteLatency();
				}

				assignment.release(result);
			},
		};
	};

	const oldSetupSource = (upstream: schema.Upstream): attempt.AttemptSource => ({
		name: upstream.name,
		address: upstream.address,
		path,
		headers: loopHeader,
		onDidPreempt: neverFires,
		noteFirstToken() {},
		noteTokens() {},
		release() {},
	});

	const remoteSource = (remote: engineServices.RemoteDaemon): attempt.AttemptSource => ({
		name: regionName(remote.region),
		address: remote.address,
		path: forwardPrefix + path,
		// The remote daemon finds the model through the catalogue entry, as this daemon did.
		bodyMembers: {model: context.entry.name},
		headers: {
			...loopHeader,
			...services.clusterHeaders,
			authorization: request.headers.authorization ?? '',
			[requestHeaders.entryHeader]: context.entry.name,
			[requestHeaders.crossingsHeader]: String(context.crossings + 1),
			[requestHeaders.requestTimeoutHeader]: String(
				Math.max(1, Math.ceil(item.deadlineAtMs - services.clock.nowMs())),
			),
		},
		onDidPreempt: neverFires,
		noteFirstToken() {},
		noteTokens() {},
		release() {},
	});

	const chooseRemote = (options: AcquireOptions): engineServices.RemoteDaemon | undefined => {
		if (!options.isFirst || options.excluded.size > 0 || !context.entry.idempotent) {
			return undefined;
		}

		return services.regionChoice.choose({
			item,
			isBound: context.homeRegion !== undefined,
			crossings: context.crossings,
			promptBytes: details.promptBytes,
			promptTokens: details.promptTokens,
		});
	};

	return {
		async acquire(options) {
			if (details.oldSetup && !options.excluded.has(details.oldSetup.name) && options.isFirst) {
				return oldSetupSource(details.oldSetup);
			}

			const remote = chooseRemote(options);
			if (remote) {
				services.counters.countCrossing(remote.region);
				return remoteSource(remote);
			}

			const {excluded, preemptions} = options;
			const wanted = {...item, excluded, preemptions};
			return localSource(await services.scheduler.acquire(wanted, options.signal));
		},
		acquireHedge(excluded) {
			if (!services.repetition.tryHedge(item.workClass)) {
				return undefined;
			}

			const assignment = services.scheduler.acquireNow({...item, excluded});
			return assignment && localSource(assignment);
		},
	};
};
