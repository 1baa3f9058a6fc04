/** Configuration of routes: which requests go to which service, and with what limits. */
import * as zod from 'zod';

export const routeSchema = zod.object({
	name: zod.string(),
	host: zod.string(),
	/** Begins and ends with a slash. */
	prefix: zod.string(),
	/** `safe` may run repeatedly, `unsafe` at most once; `stream` is an event stream. */
	work: zod.enum(['safe', 'unsafe', 'stream']),
	/** Whether a broken stream may be resumed at another upstream after its last event. */
	canResume: zod.boolean(),
	/** Time limit of a request. */
	timeoutMs: zod.number(),
	/** Target time to the answer or to the first event. */
	goalMs: zod.number(),
	/** Longest gap between events that meets the goal; undefined without a limit. */
	maxEventGapMs: zod.number().optional(),
	/** Upstreams that may run one request. */
	maxUpstreams: zod.number(),
	/** 0 is the most urgent. */
	rank: zod.number(),
	/** Regions to which the request is bound; empty when it is not bound. */
	homeRegions: zod.array(zod.string()),
	/** Whether its requests need no key, also when the configuration has teams. */
	isPublic: zod.boolean(),
	/** Services that share the route, with the weights of their shares. */
	targets: zod.array(zod.object({service: zod.string(), weight: zod.number()})),
});
export type Route = zod.infer<typeof routeSchema>;

export const engineSchema = zod.object({
	/** Requests that a runner batches. */
	slots: zod.number(),
	/** Tokens in one event of a stream. */
	eventTokens: zod.number(),
	/** Capacity of a runner's KV cache in tokens, for running requests and cached prompt parts. */
	memoryTokens: zod.number(),
});

export type Engine = zod.infer<typeof engineSchema>;

export const serviceSchema = zod.object({
	name: zod.string(),
	/** Connections that one upstream accepts from all callers together. */
	maxConnections: zod.number(),
	/** Requests a second that a cold upstream can serve; 0 when the service has no cold phase. */
	coldRatePerS: zod.number(),
	/** Present for services of model runners. */
	engine: engineSchema.optional(),
});
export type Service = zod.infer<typeof serviceSchema>;

export const quotaSchema = zod.object({
	/** In units a second, over all daemons together. */
	perS: zod.number(),
	burst: zod.number(),
	unit: zod.enum(['tokens', 'requests']),
	/** Tokens that a request counts as when its caller states no number. */
	plainTokens: zod.number(),
});
export type Quota = zod.infer<typeof quotaSchema>;

/** Callers who share keys, terms and a quota. */
export const teamSchema = zod.object({
	name: zod.string(),
	/** SHA-256 digests of its keys; no key itself is ever part of a configuration. */
	keyDigests: zod.array(zod.string()),
	/** Replaces the rank of the routes. */
	rank: zod.number().optional(),
	/** Apply in addition to those of the route; empty without a restriction. */
	homeRegions: zod.array(zod.string()),
	/** Undefined without a quota. */
	quota: quotaSchema.optional(),
});
export type Team = zod.infer<typeof teamSchema>;

export const callerLimitsSchema = zod.object({
	headerBytes: zod.number(),
	bodyBytes: zod.number(),
	headerTimeoutMs: zod.number(),
	idleMs: zod.number(),
});
export type CallerLimits = zod.infer<typeof callerLimitsSchema>;

export const routeConfigSchema = zod.object({
	version: zod.number(),
	routes: zod.array(routeSchema),
	services: zod.array(serviceSchema),
	/**
	 * Callers have to present a key if there are any. Required, since a daemon of a version
	 * without teams omits them from its snapshots, and every request would be let through.
	 */
	teams: zod.array(teamSchema),
	limits: callerLimitsSchema,
});
export type RouteConfig = zod.infer<typeof routeConfigSchema>;

/** Whether another run may resume a partial answer. */
export const mayResume = (route: Route): boolean => route.work === 'stream' && route.canResume;

/** Whether a request of a route may run more than once. */
export const isIdempotent = (route: Route): boolean => route.work === 'safe' || mayResume(route);

/** What decides on a request's rank and regions. */
export type RequestTerms = {route: Route; team?: Team};

/** Ranks of routes that are told apart within the rank of a team; higher ones count as the last. */
export const routeRanksInTeam = 3;

/** Effective rank of a request: the team's before the route's, which orders the requests of teams with equal ranks. */
export const rankOf = ({route, team}: RequestTerms): number =>
	team?.rank === undefined
		? route.rank
		: team.rank + Math.min(route.rank, routeRanksInTeam - 1) / routeRanksInTeam;

const allowsRegion = (homeRegions: readonly string[], region: string): boolean =>
	homeRegions.length === 0 || homeRegions.includes(region);

/** Whether a request may be sent to a region: both the route and the team have to allow it. */
export const mayUseRegion = ({route, team}: RequestTerms, region: string): boolean =>
	allowsRegion(route.homeRegions, region) && (!team || allowsRegion(team.homeRegions, region));

/** Whether there is a region that both the route and the team allow. */
export const hasAllowedRegion = ({route, team}: RequestTerms): boolean =>
	route.homeRegions.length === 0 ||
	!team ||
	route.homeRegions.some((region) => allowsRegion(team.homeRegions, region));

/** Lookups in one version of the configuration. */
export type RouteTable = {
	readonly config: RouteConfig;
	/** Route of the host with the longest matching path prefix; undefined when there is none. */
	select(host: string, path: string): Route | undefined;
	service(name: string): Service | undefined;
	/** Team of a key; undefined for an unknown key. */
	teamOf(keyDigest: string): Team | undefined;
	team(name: string): Team | undefined;
	/** Whether any team has a quota. */
	readonly hasQuotas: boolean;
	/** For each region, the number of the host's bound routes that it is a home region of. */
	homeCoverage(host: string): ReadonlyMap<string, number>;
};

const withoutPort = (host: string): string => host.replace(/:\d+$/u, '').toLowerCase();

/** Creates the lookups of a configuration. */
export const createRouteTable = (config: RouteConfig): RouteTable => {
	const routesByHost = new Map<string, Route[]>();
	for (const route of config.routes) {
		const host = route.host.toLowerCase();
		routesByHost.set(host, [...(routesByHost.get(host) ?? []), route]);
	}

	for (const routes of routesByHost.values()) {
		routes.sort((a, b) => b.prefix.length - a.prefix.length);
	}

	const services = new Map(config.services.map((service) => [service.name, service]));
	const teamsByName = new Map<string, Team>();
	const teamsByKeyDigest = new Map<string, Team>();
	for (const team of config.teams) {
		// The first of several entries with the same name or key counts.
		if (!teamsByName.has(team.name)) {
			teamsByName.set(team.name, team);
		}

		for (const digest of team.keyDigests) {
			if (!teamsByKeyDigest.has(digest)) {
				teamsByKeyDigest.set(digest, team);
			}
		}
	}

	return {
		config,
		select: (host, path) =>
			routesByHost.get(withoutPort(host))?.find((route) => path.startsWith(route.prefix)),
		service: (name) => services.get(name),
		teamOf: (keyDigest) => teamsByKeyDigest.get(keyDigest),
		team: (name) => teamsByName.get(name),
		hasQuotas: config.teams.some(({quota}) => quota !== undefined),
		homeCoverage(host) {
			const coverage = new Map<string, number>();
			for (const {homeRegions} of routesByHost.get(withoutPort(host)) ?? []) {
				for (const region of homeRegions) {
					coverage.set(region, (coverage.get(region) ?? 0) + 1);
				}
			}

			return coverage;
		},
	};
};

/**
 * Selects a service by the weights of a route's targets. The same request always gets
 * the same service, also when it is forwarded to another region.
 *
 * @param share uniform in [0, 1), derived from the request
 */
export const chooseService = (route: Route, share: number): string => {
	const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
	let left = share * total;
	for (const target of route.targets) {
		left -= target.weight;
		if (left < 0) {
			return target.service;
		}
	}

	return route.targets.at(-1)?.service ?? '';
};
