/** Builds, sends and counts the datagrams of one daemon. */
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import type * as datagramCodec from '@hawthornfront/protocol/common/datagram-codec.js';
import type * as claim from '@hawthornfront/protocol/common/claim.js';
import type * as fleetParts from './fleet-parts.js';
import type * as loadExchange from './load-exchange.js';
import type * as regionWaits from './region-waits.js';

// These limits keep a heartbeat below the maximum datagram size.
const maxChanges = 5;
const maxLoads = 30;

/** Optional content of a heartbeat. */
export type HeartbeatOptions = {
	wantsAnswer?: boolean;
	wantsStatus?: boolean;
	/** Carries the full claim of this daemon. */
	hasStatus?: boolean;
	/** Carries pending loads and waits; not set for answers. */
	hasPendingUpdates?: boolean;
	claims?: claim.Claim[];
	probes?: string[];
	loads?: datagram.LoadDelta[];
};

export type Messenger = {
	sendHeartbeat(address: string, options?: HeartbeatOptions): void;
	sendSummary(address: string, waits: datagram.WaitEntry[]): void;
};

/** Creates a messenger on a socket. */
export const createMessenger = (
	parts: fleetParts.FleetParts,
	socket: datagramSocket.DatagramSocket,
	codec: datagramCodec.DatagramCodec,
	loads: loadExchange.LoadExchange,
	regions: regionWaits.RegionWaitTable,
): Messenger => {
	const {membership, configuration, counters, settings, clock} = parts;

	const sender = () => {
		const {member, sequence, state, isWatching} = membership.self();
		return {
			name: member.name,
			incarnation: member.incarnation,
			sequence,
			state,
			isWatching,
			revision: configuration.snapshot().revision,
		};
	};

	const send = (address: string, item: datagram.Datagram) => {
		const bytes = codec.encode(item);
		counters.messagesSent++;
		counters.bytesSent += bytes.byteLength;
		socket.send(address, bytes);
	};

	const pendingUpdates = (options: HeartbeatOptions, nowMs: number) => {
		if (!options.hasPendingUpdates) {
			return {loads: options.loads ?? [], regions: []};
		}

		// A full status repeats every report that this daemon polled.
		const polledLoads = settings.sendsFullStatus ? loads.polledDeltas(nowMs) : [];
		const deltas = [
			...(options.loads ?? []),
			...polledLoads,
			...loads.takePending(maxLoads, nowMs),
		];
		return {loads: deltas.slice(0, maxLoads), regions: regions.takePending(nowMs)};
	};

	return {
		sendHeartbeat(address, options = {}) {
			const changes = membership.takeChanges(maxChanges);
			const hasStatus = options.hasStatus ?? settings.sendsFullStatus;
			const status = hasStatus ? [membership.self()] : [];
			send(address, {
				kind: 'heartbeat',
				...sender(),
				wantsAnswer: options.wantsAnswer ?? false,
				wantsStatus: options.wantsStatus ?? false,
				digest: membership.digest(),
				claims: [...status, ...(options.claims ?? []), ...changes.claims],
				shortClaims: changes.shortClaims,
				probes: options.probes ?? [],
				...pendingUpdates(options, clock.nowMs()),
			});
		},
		sendSummary(address, waits) {
			const {region, failureDomain} = membership.self().member;
			const digest = membership.digest(failureDomain);
			const fullDigest = membership.digest();
			send(address, {
				kind: 'summary',
				...sender(),
				region,
				failureDomain,
				digest,
				fullDigest,
				waits,
			});
		},
	};
};
