/** Reads the body of a request within the limits of its size, its time and the memory of all requests. */
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
	/** Size of the head, which stays as long as the body. */
	headBytes: number;
	maxBytes: number;
	/** The body must be complete within this time. */
	timeoutMs: number;
	onComplete(body: Uint8Array | undefined): void;
	/** Called at most once, instead of `onComplete`; further bytes are not kept. */
	onFailure(failure: BodyFailure): void;
};

/** Memory of a head as a multiple of its bytes: texts of its fields, more than once. */
const headFactor = 3;
/** Longest delay of a timer. */
const maxTimerMs = 2_147_483_647;

export type RequestBody = {
	/** Frees the body; call it when the request has ended. */
	release(): void;
};

const hasBody = ({headers}: http.IncomingMessage): boolean =>
	headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

export const readBody = (request: http.IncomingMessage, options: BodyOptions): RequestBody => {
	const {maxBytes, onComplete, onFailure} = options;
	// The `close` event of the response reports a caller that disconnects.
	request.on('error', () => undefined);
	if (!hasBody(request)) {
		request.on('end', () => {
			onComplete(undefined);
		});
		request.resume();
		return {release: () => undefined};
	}

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
	const timer = setTimeout(
		() => {
			fail('deadline');
		},
		Math.min(maxTimerMs, options.timeoutMs),
	);
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
	held.grow(options.headBytes * headFactor);
	return {
		release() {
			stop();
			held.release();
		},
	};
};
