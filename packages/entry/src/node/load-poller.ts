/** Polls the load of the upstreams that the fleet assigns to this daemon. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as textRequest from '@hawthornfront/base/node/text-request.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as zod from 'zod';

/** Short enough for a failure domain to detect a leaving upstream within 3 s. */
const pollPeriodMs = 1000;
const pollTimeoutMs = 900;
const reportLimits: textRequest.BodyLimits = {maxBytes: 16_384, timeoutMs: pollTimeoutMs};

/** Answer of `GET /load`. Services omit the members that only runners have. */
const loadAnswerSchema = zod.object({
	running: zod.number().int().nonnegative().default(0),
	waiting: zod.number().int().nonnegative().default(0),
	slots: zod.number().int().nonnegative().default(0),
	leaving: zod.boolean().default(false),
	model: zod.string().nullish(),
	role: zod.string().nullish(),
});

export type PolledLoad = {
	running: number;
	waiting: number;
	slots: number;
	leaving: boolean;
	model: string;
	role: string;
	/** Time at which the poll was sent, on the monotonic clock of this daemon. */
	observedAtMs: number;
};

export type LoadPollerOptions = {
	clock: clock.Clock;
	client: httpClient.HttpClient;
	/** Upstreams that this daemon currently polls. */
	upstreams(): schema.Upstream[];
	publish(upstream: string, load: PolledLoad): void;
};

export type LoadPoller = disposable.Disposable & {
	/** Number of polls without a valid answer. */
	failures(): number;
};

/** Starts polling. A failed poll is only counted; the scheduler detects failing upstreams by itself. */
export const startLoadPoller = (options: LoadPollerOptions): LoadPoller => {
	const {clock: time, client} = options;
	let failures = 0;
	const pending = new Set<string>();

	const poll = async (upstream: schema.Upstream): Promise<void> => {
		const observedAtMs = time.nowMs();
		pending.add(upstream.name);
		try {
			const {text} = await textRequest.requestText(
				client,
				{peer: upstream.address, method: 'GET', path: '/load', timeoutMs: pollTimeoutMs},
				reportLimits,
			);
			const load = loadAnswerSchema.parse(JSON.parse(text));
			options.publish(upstream.name, {
				...load,
				model: load.model ?? '',
				role: load.role ?? '',
				observedAtMs,
			});
		} catch {
			failures++;
		} finally {
			pending.delete(upstream.name);
		}
	};

	const timer = time.setPeriodicTimer(() => {
		for (const upstream of options.upstreams()) {
			if (!pending.has(upstream.name)) {
				void poll(upstream);
			}
		}
	}, pollPeriodMs);
	return {
		failures: () => failures,
		dispose() {
			timer.dispose();
		},
	};
};
