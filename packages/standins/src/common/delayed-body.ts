/**
 * Body of an answer that travels over a link: every part arrives later, parts
 * overlap in flight, and a failure of the connection breaks it at once.
 */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as links from './links.js';

// Parts that are read ahead of the reader; it stands for the window of a connection.
const maxBytesInFlight = 262_144;

type Part = {dueMs: number; bytes: Uint8Array};

export type DelayedBody = {
	readonly body: AsyncIterable<Uint8Array>;
	/** Drops what is in flight; the reader gets the error. */
	fail(error: Error): void;
};

/** Starts reading `source` at once. `onEnd` is called once, when the reader or the body ends. */
export const createDelayedBody = (
	clock: clockModule.Clock,
	link: links.Link,
	source: AsyncIterable<Uint8Array>,
	onEnd: () => void,
): DelayedBody => {
	const parts: Part[] = [];
	let bytesInFlight = 0;
	let lastDueMs = 0;
	let failure: Error | undefined;
	let isComplete = false;
	let hasReaderLeft = false;
	let waiters: Array<() => void> = [];

	const notify = () => {
		const current = waiters;
		waiters = [];
		for (const wake of current) {
			wake();
		}
	};

	const changed = async () =>
		new Promise<void>((resolve) => {
			waiters.push(resolve);
		});

	const fail = (error: Error) => {
		failure ??= error;
		parts.length = 0;
		notify();
	};

	const hasStopped = () => failure !== undefined || hasReaderLeft;
	const isFull = () => bytesInFlight > maxBytesInFlight && !hasStopped();

	const pump = async () => {
		try {
			for await (const bytes of source) {
				// Parts of one connection arrive in order.
				lastDueMs = Math.max(lastDueMs, clock.nowMs() + link.streamDelayMs(bytes.byteLength));
				parts.push({dueMs: lastDueMs, bytes});
				bytesInFlight += bytes.byteLength;
				notify();
				while (isFull()) {
					await changed();
				}

				if (hasStopped()) {
					return;
				}
			}

			isComplete = true;
			notify();
		} catch (error) {
			fail(error instanceof Error ? error : new Error(String(error)));
		}
	};

	/** Waits until the first part is due, or something else changes. */
	const waitForPart = async () => {
		const [first] = parts;
		if (!first) {
			await changed();
			return;
		}

		const timer = clock.setTimer(notify, first.dueMs - clock.nowMs());
		await changed();
		timer.dispose();
	};

	async function* read(): AsyncGenerator<Uint8Array> {
		try {
			for (;;) {
				if (failure) {
					throw failure;
				}

				const [first] = parts;
				if (first && first.dueMs <= clock.nowMs()) {
					parts.shift();
					bytesInFlight -= first.bytes.byteLength;
					notify();
					yield first.bytes;
				} else if (!first && isComplete) {
					return;
				} else {
					await waitForPart();
				}
			}
		} finally {
			hasReaderLeft = true;
			notify();
			onEnd();
		}
	}

	void pump();
	return {body: read(), fail};
};
