/** One region in memory: store, runners, weight store and placers that can be paused one by one. */
import * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as placer from '../common/placer.js';
import * as runnerClient from '../common/runner-client.js';

export const loadMs = 4000;
const callMs = 5;
const deliveryMs = 20;

/** A process that can be paused: its timers and answers wait until it is resumed. */
export class PausableClock extends clock.Clock {
	readonly #inner: clock.Clock;
	#isPaused = false;
	#waiting: Array<() => void> = [];

	constructor(inner: clock.Clock) {
		super();
		this.#inner = inner;
	}

	override nowMs(): number {
		return this.#inner.nowMs();
	}

	override wallMs(): number {
		return this.#inner.wallMs();
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		return this.#inner.setTimer(() => {
			this.#run(callback);
		}, delayMs);
	}

	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const callback of waiting) {
			callback();
		}
	}

	/** Resolves as soon as the process runs. */
	async running(): Promise<void> {
		return new Promise((resolve) => {
			this.#run(resolve);
		});
	}

	#run(callback: () => void): void {
		if (this.#isPaused) {
			this.#waiting.push(callback);
		} else {
			callback();
		}
	}
}

/** A call of one placer to one of its services, counted over the placer's life. */
export type ServiceCall = {placer: string; index: number; service: string; operation: string};

export type SentOrder = runnerClient.RunnerOrder & {
	runner: string;
	placer: string;
	atMs: number;
	/** The lease of the fencing number was alive when the order left. */
	isLeaseAlive: boolean;
};

export class FakeRunner {
	model: string;
	role = 'mixed';
	leaving = false;
	isSilent = false;
	loads = 0;
	highestFencing = 0;
	readonly #checksFencing: boolean;
	readonly #clock: clock.Clock;
	#loading: {model: string; timer: disposable.Disposable} | undefined;

	constructor(
		readonly name: string,
		timeSource: clock.Clock,
		checksFencing: boolean,
		model: string,
	) {
		this.#clock = timeSource;
		this.#checksFencing = checksFencing;
		this.model = model;
	}

	give(order: runnerClient.RunnerOrder): runnerClient.OrderAnswer {
		if (this.#checksFencing && order.fencing < this.highestFencing) {
			return 'refused';
		}

		this.highestFencing = Math.max(this.highestFencing, order.fencing);
		if (order.order === 'change-role') {
			this.role = order.role;
		} else if ((this.#loading?.model ?? this.model) !== order.model) {
			this.#load(order.model);
		}

		return 'accepted';
	}

	#load(model: string): void {
		this.#loading?.timer.dispose();
		this.model = '';
		this.loads++;
		const timer = this.#clock.setTimer(() => {
			this.model = model;
			this.#loading = undefined;
		}, loadMs);
		this.#loading = {model, timer};
	}
}

/** Grants one ticket a period and counts what it granted. */
class FakeWeightStore extends platformServices.WeightStore {
	readonly grantedAtMs: number[] = [];
	readonly #clock: clock.Clock;
	readonly #periodMs: number;

	constructor(timeSource: clock.Clock, periodMs: number) {
		super();
		this.#clock = timeSource;
		this.#periodMs = periodMs;
	}

	override async requestTicket(model: string): Promise<platformServices.WeightTicket> {
		const sinceMs = this.#clock.nowMs() - (this.grantedAtMs.at(-1) ?? -this.#periodMs);
		if (sinceMs < this.#periodMs) {
			return {kind: 'limited', retryAfterMs: this.#periodMs - sinceMs};
		}

		this.grantedAtMs.push(this.#clock.nowMs());
		return {kind: 'granted', model};
	}
}

const region = 'saare';

export const testSettings = (name: string): placer.PlacerSettings => ({
	region,
	name,
	leaseMs: 15_000,
	leaseMarginMs: 5000,
	renewMs: 3000,
	standbyMs: 3000,
	catalogueMs: 5000,
	roundMs: 1000,
	observation: {
		settledMs: 4000,
		silentMs: 8000,
		demandMs: 2000,
		demand: {halfLifeMs: 20_000, staleMs: 60_000},
	},
	placement: {
		role: 'mixed',
		tokensPerSecondPerSlot: 100,
		highShare: 0.8,
		lowShare: 0.5,
		minChangeMs: 15_000,
		maxChangesInProgress: 2,
	},
	orders: {repeatMs: 5000, maxLoadsInProgress: 2, loadTimeoutMs: 60_000},
});

export type RegionOptions = {
	models: string[];
	/** Model that each runner has at the start. */
	runners: string[];
	checksFencing: boolean;
	ticketPeriodMs?: number;
};

export const createRegion = (options: RegionOptions) => {
	const time = new manualClock.ManualClock();
	const store = new fakeStore.FakeKeyValueStore(time);
	store.chooseDelayMs = () => callMs;
	const weightStore = new FakeWeightStore(time, options.ticketPeriodMs ?? 1000);
	const runners = options.runners.map(
		(model, index) => new FakeRunner(`runner-${index + 1}`, time, options.checksFencing, model),
	);
	const demand: Record<string, number> = {};
	const sent: SentOrder[] = [];
	const catalogue = snapshot.createSnapshot(1, [
		...options.models.map((model) =>
			schema.entrySchema.parse({
				kind: 'entry',
				name: `entry-${model}`,
				owner: 'o',
				workClass: 'short',
				target: {kind: 'model', model},
				idempotent: true,
			}),
		),
		...runners.map(({name}, index) =>
			schema.upstreamSchema.parse({
				kind: 'upstream',
				name,
				type: 'runner',
				region,
				failureDomain: 'saare-1',
				address: `10.0.0.${index + 1}:9000`,
				models: options.models,
				checksFencing: options.checksFencing,
			}),
		),
	]);

	/** Called before each call of a placer; a pause, a fault or nothing. */
	const hooks: {
		beforeCall: (call: ServiceCall) => void;
		chooseFault: (call: ServiceCall) => fakeStore.StoreFault;
	} = {beforeCall: () => undefined, chooseFault: () => 'none'};

	const startPlacer = (name: string, change: Partial<placer.PlacerSettings> = {}) => {
		const own = new PausableClock(time);
		let calls = 0;
		/** Makes a call of this placer that can fail or be cut short by a pause. */
		const call = async <T>(
			service: string,
			operation: string,
			effect: () => Promise<T> | T,
		): Promise<T> => {
			const details = {placer: name, index: ++calls, service, operation};
			const fault = hooks.chooseFault(details);
			hooks.beforeCall(details);
			try {
				return await fakeStore.withFault(fault, time, service, effect);
			} finally {
				await own.running();
			}
		};

		const wrap = <Service extends {constructor: unknown}>(
			service: string,
			target: Service,
		): Service =>
			new Proxy(target, {
				get(object, key) {
					const member: unknown = Reflect.get(object, key, object);
					return typeof member === 'function'
						? async (...args: unknown[]) =>
								call(service, String(key), () => member.apply(object, args) as unknown)
						: member;
				},
			});

		class Runners extends runnerClient.RunnerClient {
			#find(address: string): FakeRunner {
				return runners[Number(/(\d+):/u.exec(address)?.[1]) - 1]!;
			}

			override async load(address: string): Promise<runnerClient.RunnerLoad> {
				await time.sleep(callMs);
				const runner = this.#find(address);
				if (runner.isSilent) {
					throw new Error('no answer');
				}

				return {model: runner.model, role: runner.role, leaving: runner.leaving};
			}

			override async order(address: string, order: runnerClient.RunnerOrder) {
				const runner = this.#find(address);
				sent.push({
					...order,
					runner: runner.name,
					placer: name,
					atMs: time.nowMs(),
					isLeaseAlive:
						store.peek('placer/saare/holder')?.value.includes(`"number":${order.fencing},`) ??
						false,
				});
				await time.sleep(deliveryMs);
				return runner.give(order);
			}
		}

		class Demand extends runnerClient.DemandClient {
			override async read() {
				return {...demand};
			}
		}

		const running = placer.createPlacer(
			{
				clock: own,
				store: wrap<keyValueStore.KeyValueStore>('store', store),
				weightStore: wrap<platformServices.WeightStore>('weights', weightStore),
				runners: wrap<runnerClient.RunnerClient>('runner', new Runners()),
				demand: wrap<runnerClient.DemandClient>('entry', new Demand()),
				entryAddresses: ['10.0.1.1:8080'],
				catalogue: {refresh: async () => undefined, snapshot: () => catalogue},
			},
			{...testSettings(name), ...change},
		);
		return {
			placer: running,
			pause() {
				own.pause();
			},
			resume() {
				own.resume();
			},
			get calls() {
				return calls;
			},
		};
	};

	const desired = (): Record<string, {model: string; role: string}> => {
		const found = store.peek('placer/saare/desired');
		return found
			? (JSON.parse(found.value) as {runners: Record<string, {model: string; role: string}>})
					.runners
			: {};
	};

	/** Differences between what the store wants and what the runners do. */
	const differences = (): string[] =>
		runners
			.filter((runner) => {
				const place = desired()[runner.name];
				return place?.model !== runner.model || place.role !== runner.role;
			})
			.map((runner) => `${runner.name} has ${runner.model}`);

	const missing = (): string[] =>
		options.models.filter((model) => !runners.some((runner) => runner.model === model));

	return {
		time,
		store,
		weightStore,
		runners,
		demand,
		sent,
		hooks,
		startPlacer,
		desired,
		differences,
		missing,
	};
};
