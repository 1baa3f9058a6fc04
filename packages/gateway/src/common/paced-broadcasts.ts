/**
 * Sends messages to many peers in bursts that a slow link takes. One broadcast is under
 * way at a time; requests of one kind that come meanwhile share the next one, so that the
 * datagrams do not grow with the number of requests.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';

export type Broadcast = {
	/** `host:port` of each peer, in the order of the sends. */
	addresses: readonly string[];
	bytes: Uint8Array;
};

export type PacedBroadcasts = disposable.Disposable & {
	/**
	 * Sends to all peers, at once if no broadcast is under way.
	 *
	 * @param kind requests of one kind that wait are one request
	 * @param compose called when the broadcast begins
	 */
	request(kind: string, compose: () => Broadcast): void;
};

export type PacedBroadcastsOptions = {
	clock: clock.Clock;
	send(address: string, bytes: Uint8Array): void;
};

const datagramsPerBurst = 8;
const burstIntervalMs = 24;

export const createPacedBroadcasts = ({clock, send}: PacedBroadcastsOptions): PacedBroadcasts => {
	const waiting = new Map<string, () => Broadcast>();
	let timer: disposable.Disposable | undefined;
	let isDisposed = false;

	const sendBurst = ({addresses, bytes}: Broadcast) => {
		for (const address of addresses.slice(0, datagramsPerBurst)) {
			send(address, bytes);
		}

		const rest = addresses.slice(datagramsPerBurst);
		timer = clock.setTimer(() => {
			timer = undefined;
			if (rest.length > 0) {
				sendBurst({addresses: rest, bytes});
			} else {
				startNext();
			}
		}, burstIntervalMs);
	};

	const startNext = () => {
		const [next] = waiting;
		if (next) {
			const [kind, compose] = next;
			waiting.delete(kind);
			sendBurst(compose());
		}
	};

	return {
		request(kind, compose) {
			if (isDisposed) {
				return;
			}

			waiting.set(kind, compose);
			if (timer === undefined) {
				startNext();
			}
		},
		dispose() {
			isDisposed = true;
			timer?.dispose();
			waiting.clear();
		},
	};
};
