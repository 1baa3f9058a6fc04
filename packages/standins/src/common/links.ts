/** One-way links between named places (regions or failure domains) of a faulty network. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as randomModule from '@hawthornfront/base/common/random.js';

export type LinkSettings = {
	delayMs: number;
	/** Probability that one packet is lost. */
	loss: number;
	/** Rate shared by everything on this link; undefined for no limit. */
	rateBitsPerSecond: number | undefined;
};

/** A lost packet of a connection is sent again after this time. */
const retransmitMs = 200;

const maxRetransmits = 5;

export type Link = LinkSettings & {
	readonly isCut: boolean;
	readonly onDidCut: event.Event<void>;
	cut(): void;
	heal(): void;
	/**
	 * Delay of a part of a connection: queueing and transfer at the rate of the
	 * link, the delay of the link, and retransmission of lost packets.
	 */
	streamDelayMs(lengthBytes: number): number;
	/** Delay of a datagram; undefined when it is lost. */
	datagramDelayMs(lengthBytes: number): number | undefined;
	readonly counts: {bytes: number; lostDatagrams: number};
};

/** Creates a link without delay, loss or limit. */
export const createLink = (clock: clockModule.Clock, random: randomModule.Random): Link => {
	const didCut = event.createEmitter<void>();
	const counts = {bytes: 0, lostDatagrams: 0};
	let isCut = false;
	let freeAtMs = clock.nowMs();

	const transferMs = (link: LinkSettings, lengthBytes: number) => {
		counts.bytes += lengthBytes;
		if (link.rateBitsPerSecond === undefined) {
			return 0;
		}

		const nowMs = clock.nowMs();
		const durationMs = (lengthBytes * 8 * 1000) / link.rateBitsPerSecond;
		freeAtMs = Math.max(nowMs, freeAtMs) + durationMs;
		return freeAtMs - nowMs;
	};

	const link: Link = {
		delayMs: 0,
		loss: 0,
		rateBitsPerSecond: undefined,
		counts,
		get isCut() {
			return isCut;
		},
		onDidCut: didCut.event,
		cut() {
			if (!isCut) {
				isCut = true;
				didCut.fire();
			}
		},
		heal() {
			isCut = false;
		},
		streamDelayMs(lengthBytes) {
			let delayMs = link.delayMs + transferMs(link, lengthBytes);
			for (let attempt = 0; attempt < maxRetransmits && random.next() < link.loss; attempt++) {
				delayMs += retransmitMs;
			}

			return delayMs;
		},
		datagramDelayMs(lengthBytes) {
			const delayMs = link.delayMs + transferMs(link, lengthBytes);
			if (isCut || random.next() < link.loss) {
				counts.lostDatagrams++;
				return undefined;
			}

			return delayMs;
		},
	};
	return link;
};
