/**
 * Anti-entropy: pulls the cluster state of a peer that is ahead, when the store does not
 * deliver it to this daemon. A peer that stays ahead of a watch shows that its connection
 * is silent; then the store is listed again on a new one.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as textRequest from '@hawthornfront/base/node/text-request.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as gossipMessage from '../common/gossip-message.js';
import * as storePosition from '../common/store-position.js';
import type * as upstreamRegistry from '../common/upstream-registry.js';
import * as watchLag from '../common/watch-lag.js';
import * as clusterState from './cluster-state.js';
import * as requestAdmission from './request-admission.js';

const pullTimeoutMs = 1500;
const snapshotLimits: textRequest.BodyLimits = {maxBytes: 8_388_608, timeoutMs: 3000};
/** Shortest interval between two pulls, about one gossip interval. */
const pullEveryMs = 250;
/** After this time behind its peers, a daemon also pulls from other failure domains. */
const pullFromOtherDomainsAfterMs = 700;
/**
 * After this time, a daemon pulls a configuration by which another one has answered its callers,
 * who may get no answer by an earlier one a quarter of a second later.
 */
const pullConfigInUseAfterMs = 80;

export type CatchUpOptions = {
	clock: clock.Clock;
	client: httpClient.HttpClient;
	cluster: clusterState.ClusterState;
	localFailureDomain: string;
	upstreams: Pick<upstreamRegistry.UpstreamRegistry, 'position'>;
	log: gatewayEvent.EventLog;
};

export type CatchUp = {
	/** Handles a record that a peer sent of itself; starts a pull if the peer is ahead. */
	notePeer(peer: gossipMessage.MemberRecord): void;
	/** Notes that a peer has answered a caller of this daemon by a configuration; pulls it unless it comes from elsewhere soon. */
	noteConfigInUse(peer: gossipMessage.MemberRecord, version: number): void;
	/** Time for which this daemon has been behind a peer; 0 if it is not. */
	behindMs(): number;
};

/** Creates the anti-entropy pull of a daemon. */
export const createCatchUp = (options: CatchUpOptions): CatchUp => {
	const {clock, client, cluster, log} = options;
	let isPulling = false;
	let pulledAtMs = Number.NEGATIVE_INFINITY;
	let behindSinceMs: number | undefined;
	let refreshedEra: number | undefined;
	let isConfigDue = false;
	const operatorLag = watchLag.createWatchLag(() => clock.nowMs());
	const upstreamLag = watchLag.createWatchLag(() => clock.nowMs());

	const pullFrom = async (peer: gossipMessage.MemberRecord) => {
		isPulling = true;
		pulledAtMs = clock.nowMs();
		try {
			const {text} = await textRequest.requestText(
				client,
				{
					peer: peer.peerAddress,
					method: 'GET',
					path: requestAdmission.snapshotPathFor(cluster.configVersion),
					headers: {},
					timeoutMs: pullTimeoutMs,
					isConnectionClosed: true,
				},
				snapshotLimits,
			);
			const snapshot = clusterState.snapshotSchema.parse(JSON.parse(text));
			cluster.merge(snapshot, peer.name);
			behindSinceMs = undefined;
			log.note({
				kind: 'snapshot-pulled',
				peer: peer.name,
				configVersion: cluster.configVersion,
				upstreamRevision: storePosition.revisionOf(snapshot.upstreamRevision),
				era: storePosition.eraOf(snapshot.upstreamRevision),
			});
		} catch (error) {
			const detail = errorText.errorText(error, errorText.maxLoggedLength);
			log.note({kind: 'snapshot-pull-failed', peer: peer.name, detail});
		} finally {
			isPulling = false;
		}
	};

	const isInLocalDomain = (peer: gossipMessage.MemberRecord) =>
		peer.failureDomain === options.localFailureDomain;

	const isAfterOwn = (
		upstreamPosition: storePosition.StorePosition,
		operatorPosition: storePosition.StorePosition,
	) =>
		storePosition.isAfter(upstreamPosition, options.upstreams.position) ||
		storePosition.isAfter(operatorPosition, cluster.operatorPosition);

	/**
	 * Whether a peer holds a state of the store that this daemon may lack. A listing does not show
	 * which keys were removed before it, so a later one counts although no later change is known.
	 * While this daemon follows the watchers of its failure domain, listings elsewhere don't count,
	 * since each daemon lists the store when it starts.
	 */
	const hasLaterState = (peer: gossipMessage.MemberRecord): boolean =>
		isAfterOwn(peer.upstreamLastChange, peer.operatorLastChange) ||
		((isInLocalDomain(peer) || cluster.storeContact === 'lost') &&
			isAfterOwn(peer.upstreamRevision, peer.operatorRevision));

	const isAhead = (peer: gossipMessage.MemberRecord): boolean =>
		peer.configVersion > cluster.configVersion ||
		(cluster.storeContact !== 'reached' && hasLaterState(peer));

	/** Lists the store again once for each restore that a peer knows of before this daemon's own watch. */
	const noteRestore = (peer: gossipMessage.MemberRecord) => {
		const isRestored = storePosition.isRestored(options.upstreams.position, peer.upstreamRevision);
		const era = storePosition.eraOf(peer.upstreamRevision);
		if (isRestored && cluster.storeContact === 'reached' && era !== refreshedEra) {
			refreshedEra = era;
			cluster.refresh();
		}
	};

	/** Lists the store again when a peer keeps knowing of changes that the watches lack. */
	const noteWatchLag = (peer: gossipMessage.MemberRecord) => {
		if (cluster.storeContact !== 'reached') {
			return;
		}

		const lagMs = Math.max(
			operatorLag.note(peer.operatorLastChange, cluster.answeredOperatorPosition),
			upstreamLag.note(peer.upstreamLastChange, cluster.answeredUpstreamPosition),
		);
		if (lagMs > 0) {
			log.note({
				kind: 'store-watch-silent',
				peer: peer.name,
				lagMs: Math.round(lagMs),
				operatorRevision: storePosition.revisionOf(cluster.answeredOperatorPosition),
				peerOperatorRevision: storePosition.revisionOf(peer.operatorLastChange),
				upstreamRevision: storePosition.revisionOf(cluster.answeredUpstreamPosition),
				peerUpstreamRevision: storePosition.revisionOf(peer.upstreamLastChange),
			});
			cluster.refresh();
		}
	};

	const behindMs = () => (behindSinceMs === undefined ? 0 : clock.nowMs() - behindSinceMs);

	return {
		notePeer(peer) {
			noteRestore(peer);
			noteWatchLag(peer);
			if (!isAhead(peer)) {
				return;
			}

			behindSinceMs ??= clock.nowMs();
			const canPull =
				isInLocalDomain(peer) || !cluster.isComplete || behindMs() > pullFromOtherDomainsAfterMs;
			if (canPull && !isPulling && clock.nowMs() - pulledAtMs > pullEveryMs) {
				void pullFrom(peer);
			}
		},
		noteConfigInUse(peer, version) {
			if (version <= cluster.configVersion || isConfigDue) {
				return;
			}

			isConfigDue = true;
			clock.setTimer(() => {
				isConfigDue = false;
				if (version > cluster.configVersion && !isPulling) {
					void pullFrom(peer);
				}
			}, pullConfigInUseAfterMs);
		},
		behindMs,
	};
};
