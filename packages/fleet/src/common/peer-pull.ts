/**
 * Pulls a newer configuration from a peer that announces its revision, and
 * answers pulls of peers. Random delays and a rate limit on answers make a
 * change spread as a tree; otherwise all daemons would call one peer at once.
 */
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as methods from '@hawthornfront/protocol/common/fleet-methods.js';
import type * as zod from 'zod';
import * as counting from './counters.js';
import type * as fleetParts from './fleet-parts.js';
import {withTimeout} from './fleet-parts.js';

const callTimeoutMs = 4000;
const maxAnswerChars = 400_000;
const maxSources = 8;
const maxCalls = 64;
const retryMs = 500;

/** A peer that announced a revision. `isNear`: in the same failure domain. */
export type PullSource = {name: string; httpAddress: string; revision: number; isNear: boolean};

type PullParams = zod.infer<typeof methods.configPull.params>;
type PullResult = zod.infer<typeof methods.configPull.result>;

export type PeerPull = disposable.Disposable & {
	/** Records an announced revision; the pull follows after a random delay. */
	offer(source: PullSource): void;
	answer(params: PullParams): PullResult;
	/** True while a known peer has announced a higher revision. */
	isBehind(): boolean;
	dump(): unknown;
};

/** Creates the puller. A relay pulls from other failure domains without the long delay. */
export const createPeerPull = (parts: fleetParts.FleetParts, isRelay: () => boolean): PeerPull => {
	const {clock, random, settings, counters, configuration, logger} = parts;
	const sources = new Map<string, PullSource>();
	const tryTakeToken = counting.createRateLimiter(settings.maxAnswersPerSecond);
	let timer: disposable.Disposable | undefined;
	let isTimerNear = false;
	let isPulling = false;
	let lastError = '';

	const isWanted = (source: PullSource) =>
		source.revision > configuration.snapshot().revision &&
		!configuration.isRefused(source.revision);

	const nextSource = (): PullSource | undefined => {
		const wanted = [...sources.values()].filter((source) => isWanted(source));
		const near = wanted.filter((source) => source.isNear);
		const best = near.length > 0 ? near : wanted;
		const highest = Math.max(...best.map((source) => source.revision));
		return random.pick(best.filter((source) => source.revision === highest));
	};

	const callPeer = async (source: PullSource, digests: string[]) => {
		counters.callsSent++;
		const params = {
			cluster: parts.cluster,
			revision: configuration.snapshot().revision,
			digests,
		};
		const result = await withTimeout(clock, callTimeoutMs, parts.signal, async (signal) =>
			parts.rpcClient.call(source.httpAddress, methods.configPull, params, {
				signal,
				timeoutMs: callTimeoutMs,
			}),
		);
		return result;
	};

	const pullFrom = async (source: PullSource): Promise<void> => {
		const texts = new Map<string, string>();
		for (let calls = 0; calls < maxCalls; calls++) {
			const answer = await callPeer(source, [...configuration.digests(), ...texts.keys()]);
			if (answer.kind !== 'found') {
				throw new Error(`${source.name} answered ${answer.kind}`);
			}

			for (const {digest, text} of answer.parts) {
				texts.set(digest, text);
				counters.callBytes += text.length;
			}

			const root = schema.rootSchema.parse(JSON.parse(answer.root));
			const held = new Set([...configuration.digests(), ...texts.keys()]);
			if (root.parts.every(({digest}) => held.has(digest))) {
				await applyAnswer(source, answer.revision, answer.root, texts);
				return;
			}

			if (answer.parts.length === 0) {
				throw new Error(`${source.name} returned no further part`);
			}
		}
	};

	const applyAnswer = async (
		source: PullSource,
		revision: number,
		root: string,
		texts: ReadonlyMap<string, string>,
	) => {
		const result = await configuration.apply({
			revision,
			root,
			source: source.name,
			async readPart(digest) {
				const text = texts.get(digest);
				if (text === undefined) {
					throw new Error(`part ${digest} was dropped from the configuration during the pull`);
				}

				return text;
			},
		});
		if (result === 'refused') {
			logger.warn({revision, peer: source.name}, 'configuration refused');
		}
	};

	const pull = async () => {
		const source = nextSource();
		if (!source || isPulling) {
			return;
		}

		isPulling = true;
		try {
			await pullFrom(source);
			lastError = '';
		} catch (error) {
			counters.failedCalls++;
			lastError = error instanceof Error ? error.message : String(error);
			sources.delete(source.name);
		} finally {
			isPulling = false;
		}

		if (!parts.signal.aborted && nextSource()) {
			schedule(random.next() * retryMs, true);
		}
	};

	const schedule = (delayMs: number, isNear: boolean) => {
		// A source in the local domain replaces the long delay before a pull from another domain.
		if (timer && (isTimerNear || !isNear)) {
			return;
		}

		timer?.dispose();
		isTimerNear = isNear;
		timer = clock.setTimer(() => {
			timer = undefined;
			void pull();
		}, delayMs);
	};

	const missingParts = (digests: readonly string[]) => {
		const held = new Set(digests);
		const found: Array<{digest: string; text: string}> = [];
		let chars = 0;
		for (const digest of configuration.digests()) {
			const text = configuration.partText(digest)!;
			if (held.has(digest)) {
				continue;
			}

			// The first part is sent whatever its length, so that each answer makes progress.
			if (found.length > 0 && chars + text.length > maxAnswerChars) {
				break;
			}

			chars += text.length;
			found.push({digest, text});
		}

		counters.callBytes += chars;
		return found;
	};

	return {
		offer(source) {
			if (!isWanted(source) || parts.signal.aborted) {
				return;
			}

			sources.delete(source.name);
			sources.set(source.name, source);
			for (const name of sources.keys()) {
				if (sources.size <= maxSources) {
					break;
				}

				sources.delete(name);
			}

			if (!isPulling) {
				const hasShortDelay = source.isNear || isRelay();
				const delayMs = hasShortDelay
					? random.next() * settings.pullJitterMs
					: settings.selfHelpMs * (1 + random.next());
				schedule(delayMs, hasShortDelay);
			}
		},
		answer({cluster, revision, digests}) {
			const held = configuration.snapshot().revision;
			if (cluster !== parts.cluster || held <= revision) {
				return {kind: 'none'};
			}

			if (!tryTakeToken(clock.nowMs())) {
				counters.callsRefused++;
				return {kind: 'busy'};
			}

			counters.callsAnswered++;
			return {
				kind: 'found',
				revision: held,
				root: configuration.rootText(),
				parts: missingParts(digests),
			};
		},
		isBehind: () => nextSource() !== undefined,
		dump: () => ({isPulling, sources: [...sources.values()], lastError}),
		dispose() {
			timer?.dispose();
		},
	};
};
