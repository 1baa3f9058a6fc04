/**
 * The placer of one region. While it holds the lease, it observes runners and
 * demand, keeps the desired state in the store and sends orders to runners that
 * differ from it. It is not on the request path; without a placer, runners keep
 * their models.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as catalogueSchema from '@hawthornfront/catalogue/common/schema.js';
import type * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as desiredState from './desired-state.js';
import * as leadership from './leadership.js';
import * as orders from './orders.js';
import * as observing from './observation.js';
import * as placement from './placement.js';
import * as regionView from './region-view.js';
import * as repeating from './repeat.js';
import type * as runnerClient from './runner-client.js';

export type PlacerSettings = {
	region: string;
	/** Name of this placer, unique among the placers. */
	name: string;
	leaseMs: number;
	/** Must cover the delivery time of an order. */
	leaseMarginMs: number;
	renewMs: number;
	/** Time between two checks of the lease of another placer. */
	standbyMs: number;
	/** Time between two reads of the catalogue while this placer holds the lease. */
	catalogueMs: number;
	/** Time between two rounds of observations, decisions and orders. */
	roundMs: number;
	observation: observing.ObservationSettings;
	placement: placement.PlacementSettings;
	orders: orders.OrderSettings;
};

export type PlacerServices = {
	clock: clock.Clock;
	store: keyValueStore.KeyValueStore;
	weightStore: platformServices.WeightStore;
	runners: runnerClient.RunnerClient;
	demand: runnerClient.DemandClient;
	/** Addresses of the entry daemons of the region. */
	entryAddresses: readonly string[];
	catalogue: CatalogueSource;
};

/** Source of the catalogue. */
export type CatalogueSource = {
	/** Reads the catalogue again. Rejects on failure and keeps the last snapshot. */
	refresh(): Promise<void>;
	/** Last snapshot; revision 0 before the first read. */
	snapshot(): snapshot.Snapshot;
};

/** A change that is logged. */
export type PlacerChange =
	| {kind: 'holder'; fencing: number}
	| {kind: 'not-holder'}
	| ({kind: 'placed'} & placement.PlacementChange);

export type PlacerCounts = orders.OrderCounts & {failedStoreCalls: number};

export type Placer = disposable.Disposable & {
	readonly onDidChange: event.Event<PlacerChange>;
	/** Planned stop: revokes the lease. */
	stop(): Promise<void>;
	isHolder(): boolean;
	counts(): PlacerCounts;
	/** Returns the state for operators. */
	dump(): unknown;
};

/** Starts a placer. */
export const createPlacer = (services: PlacerServices, settings: PlacerSettings): Placer => {
	const {clock: timeSource, store} = services;
	const {region} = settings;
	const didChange = event.createEmitter<PlacerChange>();
	const lease = leadership.createLeadership({
		clock: timeSource,
		store,
		region,
		holder: settings.name,
		ttlMs: settings.leaseMs,
		marginMs: settings.leaseMarginMs,
		standbyMs: settings.standbyMs,
	});
	const desired = desiredState.createDesiredState(store, timeSource, region);
	const observation = observing.createObservation({
		clock: timeSource,
		runners: services.runners,
		demand: services.demand,
		entryAddresses: services.entryAddresses,
		settings: settings.observation,
	});
	/** Fencing number under which the desired state was taken over; undefined before the takeover. */
	let takenOverFencing: number | undefined;
	let takenOverAtMs = 0;
	let places: desiredState.DesiredPlaces = new Map();
	let failedStoreCalls = 0;

	/** Fencing number for orders; undefined while none may be sent. */
	const fencing = (): number | undefined => {
		const current = lease.fencing();
		return current === takenOverFencing ? current : undefined;
	};

	const orderer = orders.createOrderer({
		clock: timeSource,
		runners: services.runners,
		weightStore: services.weightStore,
		fencing,
		settings: settings.orders,
	});

	const clearTakeover = () => {
		if (takenOverFencing !== undefined) {
			takenOverFencing = undefined;
			places = new Map();
			didChange.fire({kind: 'not-holder'});
		}
	};

	const takeOver = async (number: number) => {
		const result = await desired.takeOver(number);
		if (result.kind === 'outdated') {
			await lease.release();
			return;
		}

		if (result.kind === 'taken-over') {
			takenOverFencing = number;
			takenOverAtMs = timeSource.nowMs();
			places = result.places;
			observation.reset();
			didChange.fire({kind: 'holder', fencing: number});
		}
	};

	const toState = (runner: catalogueSchema.Upstream): orders.OrderedRunner => {
		const stored = places.get(runner.name);
		// The catalogue may no longer allow this model on the runner.
		const place = stored && runner.models.includes(stored.model) ? stored : undefined;
		return {
			name: runner.name,
			address: runner.address,
			checksFencing: runner.checksFencing,
			models: runner.models,
			slots: runner.slots,
			observed: observation.loadOf(runner.name),
			desired: place && {model: place.model, role: place.role},
			sinceChangeMs: place ? timeSource.nowMs() - place.changedAtMs : Number.POSITIVE_INFINITY,
		};
	};

	/** After a takeover, a holder waits up to silentMs for the first reports of all runners. */
	const isObservationComplete = (runners: readonly orders.OrderedRunner[]): boolean =>
		timeSource.nowMs() - takenOverAtMs >= settings.observation.silentMs ||
		runners.every((runner) => runner.observed !== undefined);

	const updateDesiredState = async (
		number: number,
		runners: readonly orders.OrderedRunner[],
		models: readonly string[],
	) => {
		const changes = placement.decidePlacement(
			{runners, models, demand: observation.demand()},
			settings.placement,
		);
		if (changes.length === 0) {
			return;
		}

		const nowMs = timeSource.nowMs();
		const next = new Map(places);
		for (const {runner, place, reason} of changes) {
			const changedAtMs = reason === 'adopted' ? nowMs - settings.placement.minChangeMs : nowMs;
			next.set(runner, {...place, changedAtMs});
		}

		if (fencing() !== number) {
			return;
		}

		if (!(await desired.write(number, next))) {
			clearTakeover();
			return;
		}

		places = next;
		for (const change of changes) {
			didChange.fire({kind: 'placed', ...change});
		}
	};

	const runRoundSteps = async () => {
		const number = lease.fencing();
		if (number !== takenOverFencing) {
			clearTakeover();
		}

		const catalogue = services.catalogue.snapshot();
		if (number === undefined || catalogue.revision === 0) {
			return;
		}

		if (takenOverFencing === undefined) {
			await takeOver(number);
		}

		if (takenOverFencing !== number) {
			return;
		}

		const upstreams = regionView.runnersOf(catalogue, region);
		await observation.refresh(upstreams, (upstream) =>
			placement.isInDesiredState(toState(upstream)),
		);
		const models = regionView.modelsOf(catalogue, region);
		const before = upstreams.map((upstream) => toState(upstream));
		if (isObservationComplete(before)) {
			try {
				await updateDesiredState(number, before, models);
			} catch {
				// Orders for the stored desired state continue until the lease ends.
				failedStoreCalls++;
			}
		}

		if (fencing() === number) {
			await orderer.step(
				upstreams.map((upstream) => toState(upstream)),
				new Set(models),
			);
		}
	};

	const runRound = async () => {
		try {
			await runRoundSteps();
		} catch {
			failedStoreCalls++;
		}
	};

	const refreshCatalogue = async () => {
		if (lease.fencing() === undefined) {
			return;
		}

		try {
			await services.catalogue.refresh();
		} catch {
			failedStoreCalls++;
		}
	};

	const counts = (): PlacerCounts => ({
		...orderer.counts,
		failedStoreCalls: failedStoreCalls + lease.failedCalls,
	});

	const timers = disposable.createDisposableStore();
	timers.add(repeating.repeat(timeSource, settings.renewMs, async () => lease.step()));
	timers.add(repeating.repeat(timeSource, settings.roundMs, runRound));
	timers.add(repeating.repeat(timeSource, settings.catalogueMs, refreshCatalogue));
	timers.add(didChange);

	return {
		onDidChange: didChange.event,
		isHolder: () => fencing() !== undefined,
		counts,
		async stop() {
			timers.dispose();
			await lease.release();
		},
		dump: () => ({
			region,
			name: settings.name,
			revision: services.catalogue.snapshot().revision,
			fencing: fencing() ?? 0,
			leaseRemainingMs: Math.round(lease.remainingMs()),
			demand: Object.fromEntries(observation.demand() ?? []),
			runners: regionView
				.runnersOf(services.catalogue.snapshot(), region)
				.map((upstream) => toState(upstream)),
			counts: counts(),
		}),
		dispose() {
			timers.dispose();
		},
	};
};
