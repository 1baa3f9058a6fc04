/** Pulls what a peer knows when it knows more, as while the store is out of reach. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as gossipMessage from '../common/gossip-message.js';
import * as beliefs from './beliefs.js';
import * as requestJudge from './request-judge.js';

const pullTimeoutMs = 1500;
const maxSnapshotBytes = 16_777_216;
/** Delay between two pulls. */
const pullEveryMs = 500;

export type CatchUpOptions = {
	clock: clock.Clock;
	client: httpClient.HttpClient;
	belief: beliefs.Beliefs;
	upstreamRevision(): number;
	log: gatewayEvent.EventLog;
};

/** Creates a function that takes each record that a peer tells of itself. */
export const createCatchUp = (
	options: CatchUpOptions,
): ((peer: gossipMessage.MemberRecord) => void) => {
	const {clock, client, belief, log} = options;
	let isPulling = false;
	let pulledAtMs = Number.NEGATIVE_INFINITY;

	const pullFrom = async (peer: gossipMessage.MemberRecord) => {
		isPulling = true;
		pulledAtMs = clock.nowMs();
		try {
			const answer = await client.request({
				peer: peer.peerAddress,
				method: 'GET',
				path: requestJudge.snapshotPath,
				headers: {},
				timeoutMs: pullTimeoutMs,
			});
			const text = await httpClient.readText(answer.body, maxSnapshotBytes);
			const snapshot = beliefs.snapshotSchema.parse(JSON.parse(text));
			belief.merge(snapshot, peer.name);
			log.note({
				kind: 'snapshot-pulled',
				peer: peer.name,
				configVersion: snapshot.config?.version ?? 0,
				upstreamRevision: snapshot.upstreamRevision,
			});
		} catch (error) {
			const detail = error instanceof Error ? error.message.slice(0, 200) : String(error);
			log.note({kind: 'snapshot-pull-failed', peer: peer.name, detail});
		} finally {
			isPulling = false;
		}
	};

	return (peer) => {
		const knowsMore =
			peer.configVersion > belief.configVersion ||
			(!belief.isStoreReachable && peer.upstreamRevision > options.upstreamRevision());
		if (knowsMore && !isPulling && clock.nowMs() - pulledAtMs > pullEveryMs) {
			void pullFrom(peer);
		}
	};
};
