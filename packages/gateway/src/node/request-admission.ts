/** Decides from the head of a request whether it is accepted, and selects its route and service. */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as gatewayRequest from '../common/gateway-request.js';
import * as relayHeaders from '../common/relay-headers.js';
import * as relayedRoute from '../common/relayed-route.js';
import type * as requestEngine from '../common/request-engine.js';
import * as requestLog from '../common/request-log.js';
import * as routeConfig from '../common/route-config.js';
import * as teamQuota from '../common/team-quota.js';
import type * as wireFormat from '../common/wire-format.js';
import type * as clusterState from './cluster-state.js';
import type * as callerServer from './caller-server.js';
import * as plannedStop from './planned-stop.js';
import * as requestDigest from './request-digest.js';

/** Path on the peer port that serves the daemon's cluster state. */
const snapshotPath = '/hawthornfront/snapshot?knownConfig=';

/** Path of a cluster snapshot; the configuration is omitted if it is not newer than `knownConfigVersion`. */
export const snapshotPathFor = (knownConfigVersion: number): string =>
	`${snapshotPath}${knownConfigVersion}`;

const notReadyRetryMs = 500;
/** Short, because another daemon can accept the request immediately. */
const stoppingRetryMs = 20;

export type AdmissionOptions = {
	wire: wireFormat.WireFormat;
	engine: requestEngine.RequestEngine;
	log: gatewayEvent.EventLog;
	/** Whether the requests come from other daemons instead of callers. */
	isPeerPort: boolean;
	/** Quotas of the teams; undefined on the peer port, where requests have been counted. */
	quota?: Pick<teamQuota.TeamQuota, 'tryTake'>;
	/** Undefined until the daemon has started and has a configuration and upstreams. */
	routeTable(): routeConfig.RouteTable | undefined;
	snapshot(knownConfigVersion: number): clusterState.Snapshot;
	/** Undefined unless the daemon is stopping. */
	stopProgress(): plannedStop.StopProgress | undefined;
};

const notReady = (reason: string): callerServer.AdmissionDecision => ({
	kind: 'reject',
	status: 503,
	reason,
	retryAfterMs: notReadyRetryMs,
});

const keyRefused = (reason: string): callerServer.Rejection => ({
	kind: 'reject',
	status: 401,
	reason,
	headers: {'www-authenticate': 'Bearer'},
});

const own: relayedRoute.RelayedRoute = {kind: 'own', isLater: false};

/** The route of a request, and by which configuration it was chosen. */
type RouteChoice = Pick<
	gatewayRequest.GatewayRequest,
	'route' | 'configVersion' | 'isRelayedByEarlierConfig'
>;

/** The team of a request and the headers that may be passed on. */
type Identity = {team?: routeConfig.Team; rawHeaders: readonly string[]};

const logSubject = (
	facts: wireFormat.RequestFacts,
	route: routeConfig.Route,
	table: routeConfig.RouteTable,
) => ({
	request: requestLog.loggedId(facts),
	route: route.name,
	configVersion: table.config.version,
});

/** Time for a request from its arrival on. */
const timeLimitMs = (route: routeConfig.Route, facts: wireFormat.RequestFacts): number =>
	Math.min(facts.callerTimeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);

/** Creates the admission check of one port. */
export const createAdmissionCheck = (
	options: AdmissionOptions,
): ((head: callerServer.RequestHead) => callerServer.AdmissionDecision) => {
	const {wire, engine, log, isPeerPort} = options;

	/**
	 * Refuses a request that the planned stop would cut off.
	 *
	 * @param waitedMs part of the request's time that has passed
	 */
	const refuseInStop = (
		route: routeConfig.Route,
		facts: wireFormat.RequestFacts,
		waitedMs: number,
	): callerServer.Rejection | undefined => {
		const stop = options.stopProgress();
		if (!stop) {
			return undefined;
		}

		// A stream that cannot be resumed would be cut off by the stop, so another daemon should start it.
		const cannotResume = route.work === 'stream' && !route.canResume;
		return cannotResume || plannedStop.canOutlastGrace(stop, timeLimitMs(route, facts) - waitedMs)
			? {kind: 'reject', status: 503, reason: 'stopping', retryAfterMs: stoppingRetryMs}
			: undefined;
	};

	/** Team that another daemon named; one that is not in this configuration has no terms of its own. */
	const relayedTeam = (
		head: callerServer.RequestHead,
		table: routeConfig.RouteTable,
	): routeConfig.Team | undefined => {
		const name = isPeerPort ? head.headers[relayHeaders.teamHeader] : undefined;
		return typeof name === 'string' && name !== ''
			? (table.team(name) ?? {name, keyDigests: [], homeRegions: []})
			: undefined;
	};

	/** Finds the team of a request; without one, the reason to refuse it, or undefined if it needs none. */
	const identify = (
		head: callerServer.RequestHead,
		route: routeConfig.Route,
		table: routeConfig.RouteTable,
	): Identity & {fault?: wireFormat.KeyFault | 'unknown-key'} => {
		const named = relayedTeam(head, table);
		// Without teams, the header belongs to the caller and the upstream.
		if (table.config.teams.length === 0) {
			return {team: named, rawHeaders: head.rawHeaders};
		}

		const {key, otherHeaders} = wire.takeKey(head.rawHeaders);
		const found = key.kind === 'digest' ? table.teamOf(key.digest) : undefined;
		const team = named ?? found;
		// A relay without a name comes from a public route, or from a daemon that has no teams yet.
		const needsTeam = !route.isPublic && !isPeerPort;
		const fault = key.kind === 'digest' ? 'unknown-key' : key.reason;
		return {team, rawHeaders: otherHeaders, fault: needsTeam && !team ? fault : undefined};
	};

	/** Charges a request to its team's quota. */
	const takeQuota = (
		team: routeConfig.Team | undefined,
		facts: wireFormat.RequestFacts,
	): teamQuota.QuotaDecision =>
		team?.quota && options.quota
			? options.quota.tryTake(team, teamQuota.amountOf(team.quota, facts))
			: teamQuota.unlimited;

	const accept = (
		head: callerServer.RequestHead,
		{team, rawHeaders}: Identity,
		choice: RouteChoice,
		facts: wireFormat.RequestFacts,
		table: routeConfig.RouteTable,
	): callerServer.AdmissionDecision => {
		const {route} = choice;
		const share = 1 - hash.uniform(facts.attemptId ?? '', route.name);
		const service = table.service(routeConfig.chooseService(route, share));
		if (!service) {
			return notReady('no-service');
		}

		const taken = takeQuota(team, facts);
		if (taken.kind === 'refused') {
			return {kind: 'reject', status: 429, reason: 'quota', retryAfterMs: taken.retryAfterMs};
		}

		// On the caller port, callers may send headers of these names; they are ignored.
		const peerHeaders = isPeerPort ? head.headers : {};
		const upstreamsLeft = Number(peerHeaders[relayHeaders.upstreamsLeftHeader]);
		const relayedFrom = peerHeaders[relayHeaders.relayedFromHeader];
		return {
			kind: 'accept',
			timeoutMs: timeLimitMs(route, facts),
			recheck: (waitedMs) => refuseInStop(route, facts, waitedMs),
			abandon: taken.giveBack,
			run(body, reply, onEnd) {
				let digest: string | undefined;
				return engine.handle(
					{
						method: head.method,
						path: head.path,
						rawHeaders,
						facts,
						body,
						digest() {
							digest ??= requestDigest.digestRequest(head.method, head.path, body);
							return digest;
						},
						...choice,
						service,
						team,
						arrivedAtMs: head.arrivedAtMs,
						maxUpstreams: upstreamsLeft > 0 ? upstreamsLeft : route.maxUpstreams,
						relayedFrom: typeof relayedFrom === 'string' ? relayedFrom : undefined,
					},
					reply,
					(mayHaveRun) => {
						if (!mayHaveRun) {
							taken.giveBack();
						}

						onEnd();
					},
				);
			},
		};
	};

	const decideRequest = (head: callerServer.RequestHead): callerServer.AdmissionDecision => {
		const table = options.routeTable();
		if (!table) {
			return notReady('no-configuration');
		}

		const ownVersion = table.config.version;
		const relayed = isPeerPort ? relayedRoute.readRelayedRoute(head.headers, ownVersion) : own;
		const route = relayed.kind === 'relayed' ? relayed.route : table.select(head.host, head.path);
		if (!route) {
			return relayed.kind === 'own'
				? {kind: 'reject', status: 404, reason: 'no-route'}
				: notReady('config-behind');
		}

		const facts = wire.readRequest(head.headers);
		if (relayed.kind !== 'own') {
			const isRefused = relayed.kind === 'behind';
			log.note({
				kind: 'relayed-by-later-config',
				relayedVersion: relayed.version,
				next: isRefused ? 'refuse' : 'relayed-route',
				...logSubject(facts, route, table),
			});
			if (isRefused) {
				return notReady('config-behind');
			}
		}

		const {fault, ...identity} = identify(head, route, table);
		if (fault) {
			log.note({kind: 'key-refused', reason: fault, ...logSubject(facts, route, table)});
			return keyRefused(fault);
		}

		const {team} = identity;
		if (!routeConfig.hasAllowedRegion({route, team})) {
			const subject = logSubject(facts, route, table);
			log.note({kind: 'regions-disjoint', ...subject, team: team?.name});
			return notReady('no-common-region');
		}

		const choice: RouteChoice = {
			route,
			configVersion: relayed.kind === 'own' ? ownVersion : relayed.version,
			isRelayedByEarlierConfig: relayed.kind === 'own' && relayed.isLater,
		};
		return refuseInStop(route, facts, 0) ?? accept(head, identity, choice, facts, table);
	};

	return (head) => {
		if (isPeerPort && head.path.startsWith(snapshotPath)) {
			const knownConfigVersion = Number(head.path.slice(snapshotPath.length));
			return {kind: 'respond', body: JSON.stringify(options.snapshot(knownConfigVersion))};
		}

		return decideRequest(head);
	};
};
