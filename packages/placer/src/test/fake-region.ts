/** In-memory region with a store, runners, a weight store and placers that can be paused separately. */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as placer from '../common/placer.js';
import type * as runnerClient from '../common/runner-client.js';
import * as placerSettings from '../node/settings.js';
import * as fakeRunner from './fake-runner.js';
import * as pausableClock from './pausable-clock.js';

const callMs = 5;
const deliveryMs = 20;

/** A call from a placer to one of its services; the index counts from the start of the placer. */
export type ServiceCall = {placer: string; index: number; service: string; operation: string};

export type SentOrder = runnerClient.RunnerOrder & {
	runner: string;
	placer: string;
	atMs: number;
	/** Whether the lease with this fencing number was in the store when the order was sent. */
	isLeaseAlive: boolean;
};

const region = 'saare';

/** Shorter times than in production, so that a test spans many rounds and leases. */
export const testSettings = (name: string): placer.PlacerSettings =>
	placerSettings.toPlacerSettings(
		placerSettings.placerSettingsSchema.parse({
			placer: {name, region, host: '127.0.0.1', httpPort: 0},
			platform: {store: '127.0.0.1:1', weightStore: '127.0.0.1:1'},
			entries: {addresses: ''},
			lease: {standbyMs: 3000},
			placement: {tokensPerSecondPerSlot: 100, minChangeMs: 15_000, demandHalfLifeMs: 20_000},
			orders: {
				repeatMs: 5000,
				settledMs: 4000,
				silentMs: 8000,
				demandMs: 2000,
				loadTimeoutMs: 60_000,
			},
		}),
	);

export type RegionOptions = {
	models: string[];
	/** Initial model of each runner. */
	runners: string[];
	checksFencing: boolean;
	ticketPeriodMs?: number;
};

export const createRegion = (options: RegionOptions) => {
	const time = new manualClock.ManualClock();
	const store = new fakeStore.FakeKeyValueStore(time);
	store.chooseDelayMs = () => callMs;
	const ticketPeriodMs = options.ticketPeriodMs ?? 1000;
	/** Times of granted tickets; the weight store grants one per period. */
	const grantedAtMs: number[] = [];
	const weightStore: platformServices.WeightStore = {
		async requestTicket(model) {
			const sinceMs = time.nowMs() - (grantedAtMs.at(-1) ?? -ticketPeriodMs);
			if (sinceMs < ticketPeriodMs) {
				return {kind: 'limited', retryAfterMs: ticketPeriodMs - sinceMs};
			}

			grantedAtMs.push(time.nowMs());
			return {kind: 'granted', model};
		},
	};
	const runners = options.runners.map(
		(model, index) =>
			new fakeRunner.FakeRunner(`runner-${index + 1}`, time, options.checksFencing, model),
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

	/** Called before each service call of a placer, to pause the placer or to inject a fault. */
	const hooks: {
		beforeCall: (call: ServiceCall) => void;
		chooseFault: (call: ServiceCall) => fakeStore.StoreFault;
	} = {beforeCall: () => undefined, chooseFault: () => 'none'};

	const startPlacer = (name: string) => {
		const processClock = new pausableClock.PausableClock(time);
		let calls = 0;
		/** Runs a service call, with its fault if any; while the placer is paused, the result waits. */
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
				await processClock.whenRunning();
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

		const find = (address: string): fakeRunner.FakeRunner =>
			runners[Number(/(\d+):/u.exec(address)?.[1]) - 1]!;
		const runnerCalls: runnerClient.RunnerClient = {
			async load(address) {
				await time.sleep(callMs);
				const {isSilent, model, role, leaving} = find(address);
				if (isSilent) {
					throw new Error('no answer');
				}

				return {model, role, leaving};
			},
			async order(address, order) {
				const runner = find(address);
				const holder = store.peek('placer/saare/holder')?.value ?? '';
				const isLeaseAlive = holder.includes(`"number":${order.fencing},`);
				const atMs = time.nowMs();
				sent.push({...order, runner: runner.name, placer: name, atMs, isLeaseAlive});
				await time.sleep(deliveryMs);
				return runner.applyOrder(order);
			},
		};
		const running = placer.createPlacer(
			{
				clock: processClock,
				store: wrap<keyValueStore.KeyValueStore>('store', store),
				weightStore: wrap('weights', weightStore),
				runners: wrap('runner', runnerCalls),
				demand: wrap('entry', {read: async () => ({...demand})}),
				entryAddresses: ['10.0.1.1:8080'],
				catalogue: {refresh: async () => undefined, snapshot: () => catalogue},
			},
			testSettings(name),
		);
		return {placer: running, clock: processClock, countCalls: () => calls};
	};

	type Stored = {runners: Record<string, {model: string; role: string}>};
	const desired = (): Stored['runners'] => {
		const found = store.peek('placer/saare/desired');
		return found ? (JSON.parse(found.value) as Stored).runners : {};
	};

	/** Runners that differ from the desired state in the store. */
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
		grantedAtMs,
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
