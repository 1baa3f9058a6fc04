/**
 * Tells from the ends of connections that a peer may have restarted. A process that ends
 * takes all its connections with it and refuses new ones; a peer that closes one
 * connection, or breaks off one answer, keeps the others.
 */
import * as event from '@hawthornfront/base/common/event.js';

/**
 * `refused`: no connection could be opened; `broken`: all connections have ended;
 * `unclear`: one has ended for no known reason; `kept`: it was no sign of a restart.
 */
export type PeerLoss = {address: string; reason: 'refused' | 'broken' | 'unclear' | 'kept'};

/** One established connection. */
export type ObservedConnection = {
	/**
	 * The peer has ended it.
	 *
	 * @param idleMs time since its last answer; 0 if a request on it had no complete answer yet
	 */
	noteLost(idleMs: number): void;
	/** It ended for another reason. */
	noteClosed(): void;
};

export type ConnectionLosses = {
	readonly onDidLosePeer: event.Event<PeerLoss>;
	/** A connection could not be opened. */
	noteRefused(address: string): void;
	open(address: string): ObservedConnection;
};

/** Time in which the connections of a process that has ended break. */
const judgeAfterMs = 40;
/** An idle connection may have reached its time limit, but not one that was used this recently. */
const shortIdleMs = 250;
/** Several idle connections rarely reach their time limit at once. */
const fewestIdleLosses = 2;

type Peer = {
	/** Times at which the connections that are open were opened. */
	open: Map<ObservedConnection, number>;
	/** First loss that has not been judged yet. */
	lostAtMs?: number;
	losses: number;
	/** Losses that no time limit explains. */
	unexplained: number;
};

/** @param setTimer calls back once after a delay */
export const createConnectionLosses = (
	nowMs: () => number,
	setTimer: (callback: () => void, delayMs: number) => void,
): ConnectionLosses => {
	const peers = new Map<string, Peer>();
	const didLosePeer = event.createEmitter<PeerLoss>();

	const peerOf = (address: string): Peer => {
		let peer = peers.get(address);
		if (!peer) {
			peer = {open: new Map(), losses: 0, unexplained: 0};
			peers.set(address, peer);
		}

		return peer;
	};

	const forgetIfUnused = (address: string, peer: Peer) => {
		if (peer.open.size === 0 && peer.lostAtMs === undefined) {
			peers.delete(address);
		}
	};

	const judge = (address: string, peer: Peer) => {
		const {lostAtMs = 0, losses, unexplained} = peer;
		peer.lostAtMs = undefined;
		peer.losses = 0;
		peer.unexplained = 0;
		forgetIfUnused(address, peer);
		const hasSurvivor = [...peer.open.values()].some((openedAtMs) => openedAtMs < lostAtMs);
		const isBroken = !hasSurvivor && (unexplained > 0 || losses >= fewestIdleLosses);
		if (isBroken || unexplained > 0) {
			didLosePeer.fire({address, reason: isBroken ? 'broken' : 'kept'});
		}
	};

	return {
		onDidLosePeer: didLosePeer.event,
		noteRefused(address) {
			didLosePeer.fire({address, reason: 'refused'});
		},
		open(address) {
			const peer = peerOf(address);
			const connection: ObservedConnection = {
				noteLost(idleMs) {
					if (!peer.open.delete(connection)) {
						return;
					}

					peer.losses++;
					if (peer.lostAtMs === undefined) {
						peer.lostAtMs = nowMs();
						setTimer(() => {
							judge(address, peer);
						}, judgeAfterMs);
					}

					if (idleMs < shortIdleMs && peer.unexplained++ === 0) {
						didLosePeer.fire({address, reason: 'unclear'});
					}
				},
				noteClosed() {
					if (peer.open.delete(connection)) {
						forgetIfUnused(address, peer);
					}
				},
			};
			peer.open.set(connection, nowMs());
			return connection;
		},
	};
};
