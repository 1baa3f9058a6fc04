/** Decides from the head of a request whether it is taken, and with what route and service. */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import type * as answerClassifier from '../common/answer-classifier.js';
import * as relayHeaders from '../common/relay-headers.js';
import type * as requestEngine from '../common/request-engine.js';
import * as routeConfig from '../common/route-config.js';
import type * as wireFormat from '../common/wire-format.js';
import type * as clusterState from './cluster-state.js';
import type * as callerServer from './caller-server.js';
import * as plannedStop from './planned-stop.js';

/** Path on the peer port at which a daemon tells what it believes. */
const snapshotPath = '/hawthornfront/snapshot?knownConfig=';

/** Path of what a daemon believes, without the configuration if its version is no newer. */
export const snapshotPathFor = (knownConfig: number): string => `${snapshotPath}${knownConfig}`;

const notReadyRetryMs = 500;
/** Another daemon can take the request at once. */
const stoppingRetryMs = 20;

export type AdmissionOptions = {
	wire: wireFormat.WireFormat;
	engine: requestEngine.RequestEngine;
	/** Requests come from other daemons instead of callers. */
	isPeerPort: boolean;
	/** Undefined until the daemon knows configuration and upstreams. */
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

/** Proof for the daemon that relayed a request, which may send it elsewhere then. */
const notRunHeaders = (reason: string): wireFormat.Headers => {
	const outcome: answerClassifier.Outcome = 'not-run';
	return {
		[relayHeaders.outcomeHeader]: outcome,
		[relayHeaders.reasonHeader]: reason,
		[relayHeaders.upstreamsUsedHeader]: '0',
	};
};

/** Creates the judge of one port. */
export const createAdmissionCheck = (
	options: AdmissionOptions,
): ((head: callerServer.RequestHead) => callerServer.AdmissionDecision) => {
	const {wire, engine, isPeerPort} = options;

	const accept = (
		head: callerServer.RequestHead,
		route: routeConfig.Route,
		facts: wireFormat.RequestFacts,
		table: routeConfig.RouteTable,
	): callerServer.AdmissionDecision => {
		const share = 1 - hash.uniform(facts.attemptId ?? '', route.name);
		const service = table.service(routeConfig.chooseService(route, share));
		if (!service) {
			return notReady('no-service');
		}

		// On the port of callers these names are theirs to use, and mean nothing.
		const peerHeaders = isPeerPort ? head.headers : {};
		const upstreamsLeft = Number(peerHeaders[relayHeaders.upstreamsLeftHeader]);
		const relayedFrom = peerHeaders[relayHeaders.relayedFromHeader];
		return {
			kind: 'accept',
			run: (body, reply, onEnd) =>
				engine.handle(
					{
						method: head.method,
						path: head.path,
						rawHeaders: head.rawHeaders,
						facts,
						body,
						route,
						service,
						arrivedAtMs: head.arrivedAtMs,
						maxUpstreams: upstreamsLeft > 0 ? upstreamsLeft : route.maxUpstreams,
						relayedFrom: typeof relayedFrom === 'string' ? relayedFrom : undefined,
					},
					reply,
					onEnd,
				),
		};
	};

	const judgeRequest = (head: callerServer.RequestHead): callerServer.AdmissionDecision => {
		const table = options.routeTable();
		if (!table) {
			return notReady('no-configuration');
		}

		const route = table.select(head.host, head.path);
		if (!route) {
			return {kind: 'reject', status: 404, reason: 'no-route'};
		}

		const facts = wire.readRequest(head.headers);
		const stop = options.stopProgress();
		if (stop) {
			// A stream that may not move is better begun at a daemon that stays.
			const mayNotMove = route.work === 'stream' && !route.canResume;
			const limitMs = Math.min(facts.callerTimeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
			if (mayNotMove || plannedStop.canOutlastGrace(stop, limitMs)) {
				return {kind: 'reject', status: 503, reason: 'stopping', retryAfterMs: stoppingRetryMs};
			}
		}

		return accept(head, route, facts, table);
	};

	return (head) => {
		if (isPeerPort && head.path.startsWith(snapshotPath)) {
			const knownConfig = Number(head.path.slice(snapshotPath.length));
			return {kind: 'respond', body: JSON.stringify(options.snapshot(knownConfig))};
		}

		const verdict = judgeRequest(head);
		return isPeerPort && verdict.kind === 'reject'
			? {...verdict, headers: notRunHeaders(verdict.reason)}
			: verdict;
	};
};
