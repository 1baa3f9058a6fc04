/** Reads the body of a request within the limits of its size, its time and the memory of all requests; the head counts too. */
import type * as http from 'node:http';
import * as bodyBlocks from '../common/body-blocks.js';
import type * as memoryBudget from '../common/memory-budget.js';

export type BodyFailure =
	| 'too-large'
	/** The memory of all requests is used up, and this body gave way. */
	| 'no-memory'
	/** The time of the request passed. */
	| 'deadline';

export type BodyOptions = {
	budget: memoryBudget.MemoryBudget;
	maxBytes: number;
	/** The body must be complete within this time. */
	timeoutMs: number;
	onComplete(body: Uint8Array | undefined): void;
	/** Called at most once, instead of `onComplete`; further bytes are not kept. */
	onFailure(failure: BodyFailure): void;
};

/** Memory of a request with a short head. */
const requestBytes = 4096;
/** Objects of one field of a head. */
const fieldBytes = 160;
/** Texts of a head are held more than once. */
const headCopies = 2;
/** Longest delay of a timer. */
const maxTimerMs = 2_147_483_647;

export type RequestBody = {
	/** Frees the body; call it when the request has ended. */
	release(): void;
};

/** Memory that a request takes from its head on. */
const headMemory = ({rawHeaders}: http.IncomingMessage): number =>
	rawHeaders.reduce((sum, text) => sum + text.length * headCopies + fieldBytes / 2, requestBytes);

const hasBody = ({headers}: http.IncomingMessage): boolean =>
	headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/**
 * Counts the head of a request that was refused and whose response waits for earlier ones on its
 * connection.
 *
 * @param giveWay ends the connection
 */
export const holdHead = (
	request: http.IncomingMessage,
	budget: memoryBudget.MemoryBudget,
	giveWay: () => void,
): RequestBody => {
	const held = budget.addBody(giveWay);
	held.grow(headMemory(request));
	return held;
};

export const readBody = (request: http.IncomingMessage, options: BodyOptions): RequestBody => {
	const {maxBytes, onComplete, onFailure} = options;
	// The `close` event of the response reports a caller that disconnects.
	request.on('error', () => undefined);
	let blocks: bodyBlocks.BodyBlocks | undefined = bodyBlocks.createBodyBlocks();
	const stop = () => {
		blocks = undefined;
		clearTimeout(timer);
	};

	const fail = (failure: BodyFailure) => {
		if (blocks) {
			stop();
			held.release();
			onFailure(failure);
		}
	};

	const held = options.budget.addBody(() => {
		fail('no-memory');
	});
	const timer = hasBody(request)
		? setTimeout(
				() => {
					fail('deadline');
				},
				Math.min(maxTimerMs, options.timeoutMs),
			)
		: undefined;
	request.on('data', (chunk: Uint8Array) => {
		if (blocks && blocks.length + chunk.length > maxBytes) {
			fail('too-large');
		} else if (blocks) {
			held.grow(blocks.append(chunk));
		}
	});
	request.on('end', () => {
		if (blocks) {
			const body = blocks.take();
			stop();
			held.complete();
			onComplete(body);
		}
	});
	held.grow(headMemory(request));
	return {
		release() {
			stop();
			held.release();
		},
	};
};
