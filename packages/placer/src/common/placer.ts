/**
 * The placer of one region: observes runners and demand while it holds the
 * lease, keeps the desired state in the store and orders what differs. It has
 * no part in answers; without it, runners stay as they are.
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
	/** Must cover the time that an order may take to arrive. */
	leaseMarginMs: number;
	renewMs: number;
	/** Time between two looks at the lease of another placer. */
	standbyMs: number;
	/** Time between two looks at the catalogue, while this placer is the holder. */
	catalogueMs: number;
	/** Time between two rounds of observing, deciding and ordering. */
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

/** Where the placer reads the catalogue. */
export type CatalogueSource = {
	/** Reads the catalogue again; rejects when it can't and keeps the last snapshot. */
	refresh(): Promise<void>;
	/** Last snapshot; revision 0 while none is known. */
	snapshot(): snapshot.Snapshot;
};

/** What changed, for the log. */
export type PlacerChange =
	| {kind: 'holder'; fencing: number}
	| {kind: 'not-holder'}
	| ({kind: 'placed'} & placement.PlacementChange);

export type PlacerCounts = orders.OrderCounts & {failedStoreCalls: number};

export type Placer = disposable.Disposable & {
	readonly onDidChange: event.Event<PlacerChange>;
	/** Ends the lease early; for a planned stop. */
	stop(): Promise<void>;
	isHolder(): boolean;
	counts(): PlacerCounts;
	/** State for operators. */
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
	/** Lease number under which the desired state was taken over; undefined before that. */
	let takenOverAs: number | undefined;
	let takenOverAtMs = 0;
	let places: desiredState.DesiredPlaces = new Map();
	let failedStoreCalls = 0;

	/** The number under which orders may be sent now. */
	const fencing = (): number | undefined => {
		const current = lease.fencing();
		return current === takenOverAs ? current : undefined;
	};

	const orderer = orders.createOrderer({
		clock: timeSource,
		runners: services.runners,
		weightStore: services.weightStore,
		fencing,
		settings: settings.orders,
	});

	const loseHold = () => {
		if (takenOverAs !== undefined) {
			takenOverAs = undefined;
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
			takenOverAs = number;
			takenOverAtMs = timeSource.nowMs();
			places = result.places;
			observation.reset();
			didChange.fire({kind: 'holder', fencing: number});
		}
	};

	const toState = (runner: catalogueSchema.Upstream): orders.OrderedRunner => {
		const stored = places.get(runner.name);
		// The catalogue may have stopped allowing a model on a runner.
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

	/** A holder that just took over waits for runners that have not answered yet. */
	const isObservationComplete = (runners: readonly orders.OrderedRunner[]): boolean =>
		timeSource.nowMs() - takenOverAtMs >= settings.observation.silentMs ||
		runners.every((runner) => runner.observed !== undefined);

	const decide = async (
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
			loseHold();
			return;
		}

		places = next;
		for (const change of changes) {
			didChange.fire({kind: 'placed', ...change});
		}
	};

	const round = async () => {
		const number = lease.fencing();
		if (number !== takenOverAs) {
			loseHold();
		}

		const catalogue = services.catalogue.snapshot();
		if (number === undefined || catalogue.revision === 0) {
			return;
		}

		if (takenOverAs === undefined) {
			await takeOver(number);
		}

		if (takenOverAs !== number) {
			return;
		}

		const upstreams = regionView.runnersOf(catalogue, region);
		await observation.refresh(upstreams, (upstream) => placement.isInPlace(toState(upstream)));
		const models = regionView.modelsOf(catalogue, region);
		const before = upstreams.map((upstream) => toState(upstream));
		if (isObservationComplete(before)) {
			try {
				await decide(number, before, models);
			} catch {
				// Orders for the desired state that is written already go on until the lease ends.
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
			await round();
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
