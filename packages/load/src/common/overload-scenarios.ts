/** Overload scenarios and the ways to shed load that were weighed. */
import type * as loadSettings from '@hawthornfront/gateway/common/load-settings.js';
import type * as loadShedding from '@hawthornfront/gateway/common/load-shedding.js';
import type * as overload from './overload-comparison.js';

/** Long prompts against short ones, with the same number of prompt tokens. */
export const scenario = (
	load: number,
	ranks: {long: number; short: number},
	options: Partial<overload.OverloadScenario> & {returnMs?: number} = {},
): overload.OverloadScenario => {
	const {returnMs, ...others} = options;
	return {
		daemons: 28,
		runners: 8,
		load,
		settings: {prefillTokensPerMs: 57},
		kinds: [
			{
				name: 'long',
				rank: ranks.long,
				promptTokens: 12_000,
				outputTokens: 300,
				goalMs: 1200,
				timeoutMs: 12_000,
				share: 0.5,
				returnMs,
			},
			{
				name: 'short',
				rank: ranks.short,
				promptTokens: 2400,
				outputTokens: 150,
				goalMs: 1500,
				timeoutMs: 3000,
				share: 0.5,
				returnMs,
			},
		],
		...others,
	};
};

type Rule = (
	request: loadShedding.SheddingRequest,
	load: () => loadShedding.ServiceLoad,
	settings: loadSettings.LoadSettings,
	next: () => number,
) => boolean;

/** A rule within the limits of time left and target. */
const bounded =
	(admits: Rule): overload.SheddingPolicy['create'] =>
	(_nowMs, settings, next) => ({
		decide(request, load) {
			const limitMs = Math.min(
				request.remainingMs * settings.admissionShare,
				request.goalMs * settings.admissionGoalFactor,
			);
			const lateMs = Math.max(
				request.expectedMs - limitMs,
				request.expectedMs + request.streamingMs - request.remainingMs,
			);
			return lateMs <= 0 && admits(request, load, settings, next)
				? {kind: 'admit'}
				: {
						kind: 'refuse',
						retryAfterMs: (Math.max(0, lateMs) + 200) * (0.6 + 0.8 * next()),
						basis: {
							cause: 'share',
							pressure: 0,
							admittedShare: 0,
							workMs: 0,
							queuedMs: 0,
							requests: 0,
							slots: 0,
						},
					};
		},
		size: 0,
	});

/** Position between the start of shedding and the target, 0 to 1. */
const excess = ({expectedMs, goalMs}: loadShedding.SheddingRequest, start: number) =>
	Math.max(0, Math.min(1, (expectedMs / goalMs - start) / (1 - start)));

/** Admits kinds while they use less than their shares of the last second's work, by equal weights. */
const createShares: overload.SheddingPolicy['create'] = (nowMs, settings, next) => {
	const used = new Map<string, number>();
	let updatedAtMs = 0;
	const rule: Rule = (request) => {
		const decay = Math.exp((updatedAtMs - nowMs()) / 1000);
		updatedAtMs = nowMs();
		for (const [name, workMs] of used) {
			used.set(name, workMs * decay);
		}

		const total = [...used.values()].reduce((sum, workMs) => sum + workMs, 0);
		const own = used.get(request.route) ?? 0;
		const isAdmitted =
			excess(request, settings.sheddingStartShare) === 0 || own * Math.max(1, used.size) <= total;
		used.set(request.route, own + (isAdmitted ? request.workMs : 0));
		return isAdmitted;
	};

	return bounded(rule)!(nowMs, settings, next);
};

export const policies: readonly overload.SheddingPolicy[] = [
	// Without the spread over runners, as before.
	{name: 'former limits', create: bounded(() => true), settings: {loadReportAgeMs: 0}},
	{name: 'limits, spread', create: bounded(() => true)},
	{name: 'earliest deadline', create: bounded(() => true), isByDeadline: true},
	{name: 'shares by work', create: createShares},
	{
		name: 'value per work',
		// A prompt of 2,400 tokens takes about 50 ms.
		create: bounded(
			(request, _load, settings) =>
				excess(request, settings.sheddingStartShare) <= 50 / Math.max(50, request.workMs),
		),
	},
	{
		name: 'queue threshold',
		create: bounded((request, load) => load().queuedMs < request.goalMs / 2),
	},
	{name: 'target limit', create: bounded(({expectedMs, goalMs}) => expectedMs <= goalMs * 0.85)},
	{name: 'hawthornfront'},
];
