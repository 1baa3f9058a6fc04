/**
 * Model of a runner's engine: requests share batches, prompts are read in chunks
 * between the tokens of other requests, and parts that were read before are kept
 * until newer ones need the memory. Advances in steps; no timers.
 */

export type EngineSettings = {
	/** Requests that run at once. */
	slots: number;
	memoryTokens: number;
	/** Time of a step in which one request gets a token. */
	stepMs: number;
	/** Added for each further request of the step. */
	stepGrowthMs: number;
	prefillTokensPerMs: number;
	/** Prompt tokens that are read in one step. */
	chunkTokens: number;
	/** Tokens of one event of a stream. */
	eventTokens: number;
};

export type EngineRequest = {
	/** Parts in order; a part is kept only together with all before it. */
	parts: ReadonlyArray<{id: string; tokens: number}>;
	outputTokens: number;
	isUrgent: boolean;
	onFirstToken(nowMs: number): void;
	onEvent(nowMs: number): void;
	onEnd(nowMs: number): void;
};

export type Engine = {
	/** Queues a request; the result takes it out again. */
	submit(request: EngineRequest): () => void;
	/** Runs all steps that begin before a time. */
	advance(nowMs: number): void;
	/** Prompt tokens read so far. */
	readonly readTokens: number;
	readonly running: number;
};

type Run = {
	request: EngineRequest;
	unreadTokens: number;
	generated: number;
	heldTokens: number;
};

/** Creates an idle engine with nothing kept. */
export const createEngine = (settings: EngineSettings): Engine => {
	const waiting: EngineRequest[] = [];
	const runs: Run[] = [];
	/** Kept parts, the least recently used ones first. */
	const kept = new Map<string, number>();
	let keptTokens = 0;
	let heldTokens = 0;
	let freeAtMs = 0;
	let readTokens = 0;

	const keep = (id: string, tokens: number) => {
		if (kept.delete(id)) {
			keptTokens -= tokens;
		}

		kept.set(id, tokens);
		keptTokens += tokens;
		for (const [oldId, oldTokens] of kept) {
			if (keptTokens + heldTokens <= settings.memoryTokens) {
				break;
			}

			kept.delete(oldId);
			keptTokens -= oldTokens;
		}
	};

	const keptPrefixTokens = (request: EngineRequest): number => {
		let tokens = 0;
		for (const part of request.parts) {
			if (!kept.has(part.id)) {
				break;
			}

			tokens += part.tokens;
		}

		return tokens;
	};

	const admit = () => {
		waiting.sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent));
		while (waiting.length > 0 && runs.length < settings.slots) {
			const request = waiting[0]!;
			const promptTokens = request.parts.reduce((sum, part) => sum + part.tokens, 0);
			const needed = promptTokens + request.outputTokens;
			if (heldTokens + needed > settings.memoryTokens && runs.length > 0) {
				return;
			}

			waiting.shift();
			heldTokens += needed;
			const unreadTokens = Math.max(1, promptTokens - keptPrefixTokens(request));
			runs.push({request, unreadTokens, generated: 0, heldTokens: needed});
		}
	};

	const leave = (run: Run) => {
		runs.splice(runs.indexOf(run), 1);
		heldTokens -= run.heldTokens;
	};

	/** Reads the most urgent prompts first; returns the tokens read. */
	const readChunk = (): number => {
		let left = settings.chunkTokens;
		const unread = runs.filter((run) => run.unreadTokens > 0);
		unread.sort((a, b) => Number(b.request.isUrgent) - Number(a.request.isUrgent));
		for (const run of unread) {
			const tokens = Math.min(left, run.unreadTokens);
			run.unreadTokens -= tokens;
			left -= tokens;
			if (run.unreadTokens === 0) {
				for (const part of run.request.parts) {
					keep(part.id, part.tokens);
				}
			}
		}

		return settings.chunkTokens - left;
	};

	const step = (startMs: number) => {
		admit();
		const generating = runs.filter((run) => run.unreadTokens === 0);
		const chunk = readChunk();
		readTokens += chunk;
		const endMs =
			startMs +
			settings.stepMs +
			settings.stepGrowthMs * Math.max(0, generating.length - 1) +
			chunk / settings.prefillTokensPerMs;
		for (const run of generating) {
			run.generated++;
			if (run.generated === 1) {
				run.request.onFirstToken(endMs);
			} else if (run.generated % settings.eventTokens === 0) {
				run.request.onEvent(endMs);
			}

			if (run.generated >= run.request.outputTokens) {
				leave(run);
				run.request.onEnd(endMs);
			}
		}

		freeAtMs = endMs;
	};

	return {
		submit(request) {
			waiting.push(request);
			return () => {
				const index = waiting.indexOf(request);
				if (index !== -1) {
					waiting.splice(index, 1);
				}

				const run = runs.find((item) => item.request === request);
				if (run) {
					leave(run);
				}
			};
		},
		advance(nowMs) {
			while (freeAtMs <= nowMs) {
				if (waiting.length === 0 && runs.length === 0) {
					freeAtMs = nowMs;
					return;
				}

				step(freeAtMs);
			}
		},
		get readTokens() {
			return readTokens;
		},
		get running() {
			return runs.length;
		},
	};
};
