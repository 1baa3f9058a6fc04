/** Checks of every request before its body is read, and the context that results from them. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import * as admission from './admission.js';
import * as authorisation from './authorisation.js';
import type * as callerRequest from './caller-request.js';
import type * as engineServices from './engine-services.js';
import * as requestHeaders from './request-headers.js';

const notReadyRetryAfterMs = 1000;
const maxListedEntryVms = 3;

/** A request whose team is authenticated and whose headers were accepted. */
export type RequestContext = {
	request: callerRequest.CallerRequest;
	/** Configuration snapshot used for the whole request. */
	current: snapshot.Snapshot;
	team: schema.Team;
	crossings: number;
	arrivedAtMs: number;
};

/** A {@link RequestContext} with its catalogue entry. */
export type EntryContext = RequestContext & {
	entry: schema.Entry;
	homeRegion: string | undefined;
};

export type OpenOptions = {
	/** True for a keyed request: only the owner of the key can run it, so a stopping daemon accepts it too. */
	isAcceptedWhileStopping?: boolean;
};

const checkServing = (services: engineServices.EngineServices, options: OpenOptions): void => {
	const base = {step: 'before-admission', peer: '', outcome: 'not-run'} as const;
	if (!services.isReady()) {
		throw new gatewayError.GatewayException({
			...base,
			kind: 'not-ready',
			retryAfterMs: notReadyRetryAfterMs,
			detail: 'this entry VM has no configuration yet',
		});
	}

	if (services.isStopping() && !options.isAcceptedWhileStopping) {
		const others = services.orderedEntryVms('').map((entryVm) => entryVm.address);
		throw new gatewayError.GatewayException({
			...base,
			kind: 'stopping',
			entries: others.slice(0, maxListedEntryVms),
			detail: 'this entry VM is stopping; use another one',
		});
	}
};

/** Checks the headers of a request and authenticates its team. @throws GatewayException */
export const openContext = (
	services: engineServices.EngineServices,
	request: callerRequest.CallerRequest,
	options: OpenOptions = {},
): RequestContext => {
	admission.checkLoop(request, services.cdnLoopIdentifier);
	checkServing(services, options);
	const current = services.snapshot();
	const team = authorisation.authorise(services.digests, current, request.headers);
	return {
		request,
		current,
		team,
		crossings: requestHeaders.parseCrossings(request.headers[requestHeaders.crossingsHeader]),
		arrivedAtMs: services.clock.nowMs(),
	};
};

/** Adds the catalogue entry; refuses a request whose data is bound to another region. @throws GatewayException */
export const withEntry = (
	services: engineServices.EngineServices,
	context: RequestContext,
	name: string,
): EntryContext => {
	const entry = admission.findEntry(context.current, context.team, name);
	const homeRegion = snapshot.homeRegionOf(context.team, entry);
	admission.checkHomeRegion(homeRegion, services.region, services.entryVmsOf);
	return {...context, entry, homeRegion};
};

/** Error for a request with invalid content. */
export const badRequest = (detail: string): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'bad-request',
		step: 'before-admission',
		peer: '',
		outcome: 'not-run',
		detail,
	});
