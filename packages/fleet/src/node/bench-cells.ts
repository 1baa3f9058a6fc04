/** Cells of the control benchmark. Each creates and disposes its own world. */
import * as process from 'node:process';
import type * as fleetSettings from '../common/fleet-settings.js';
import * as benchLoad from './bench-load.js';
import * as benchMeasure from './bench-measure.js';
import * as benchWorld from './bench-world.js';

export type WorldKind = 'loopback' | 'memory';

export type CellOptions = {
	kind: WorldKind;
	daemons: number;
	domains: number;
	runnersPerDomain: number;
	sendsFullStatus: boolean;
	teams: number;
	seed: number;
	settleMs: number;
	measureMs: number;
};

const joinLimitMs = 60_000;
const recoveryLimitMs = 180_000;
const changeLimitMs = 30_000;
const releaseMs = 8000;

const createWorld = (options: CellOptions): benchWorld.World => {
	const settings: Partial<fleetSettings.FleetSettings> = {
		sendsFullStatus: options.sendsFullStatus,
	};
	return options.kind === 'loopback'
		? benchWorld.createLoopbackWorld(options.seed, settings)
		: benchWorld.createMemoryWorld(options.seed, settings);
};

const recordsOf = (options: CellOptions, editedWeight = 1) => [
	...benchLoad.createTeams(options.teams, editedWeight),
	...Array.from({length: options.domains}, (_, index) =>
		benchLoad.createRunners(`domain-${index}`, options.runnersPerDomain),
	).flat(),
];

const startAll = async (world: benchWorld.World, places: benchWorld.Place[]) => {
	const seeds: string[] = [];
	for (const place of places) {
		const node = await world.start(place, [...seeds]);
		// One seed in each of the first domains is enough; gossip finds the other daemons.
		if (seeds.length < 3) {
			seeds.push(node.place.address);
		}
	}

	return seeds;
};

const isSettled = (world: benchWorld.World) => (node: benchWorld.BenchNode) =>
	node.fleet.isReady() && node.fleet.members().length === world.nodes.length;

/** Starts a world and waits until every daemon is ready and lists all others. */
const createSettledWorld = async (options: CellOptions) => {
	const world = createWorld(options);
	benchWorld.configure(world.store, recordsOf(options));
	const seeds = await startAll(world, benchWorld.createPlaces(options.daemons, options.domains));
	const joinMs = await benchMeasure.timeUntil(world, isSettled(world), joinLimitMs);
	return {world, seeds, joinMs};
};

export type SteadyResult = benchMeasure.CellResult & {joinMs: number | undefined};

/** Measures rates in steady state, after the changes of the joins have spread. */
export const runSteadyCell = async (options: CellOptions): Promise<SteadyResult> => {
	const {world, joinMs} = await createSettledWorld(options);
	const load = benchLoad.startLoad(world, options.runnersPerDomain, options.seed);
	await world.advance(options.settleMs);
	const result = await benchMeasure.measureCell(world, options.measureMs);
	load.dispose();
	await world.dispose();
	return {...result, joinMs};
};

export type ChangeResult = {
	/** Time from the write of the root until all daemons have applied it, for each change. */
	inForceMs: Array<number | undefined>;
	/** Processor time of one daemon per change, above the steady rate. */
	cpuMsPerChange: number;
	/** Calls of the cluster to the store per change, above the steady rate. */
	storeCallsPerChange: number;
	/** Characters of JSON text that one daemon sent and received per change, mean over all. */
	callBytesPerChange: number;
};

const cpuMs = () => {
	const usage = process.cpuUsage();
	return (usage.user + usage.system) / 1000;
};

/** Measures the time until all daemons have applied a change of one team. */
export const runChangeCell = async (
	options: CellOptions,
	changes: number,
): Promise<ChangeResult> => {
	const {world} = await createSettledWorld(options);
	await world.advance(options.settleMs);
	const steady = await benchMeasure.measureCell(world, options.measureMs);
	const inForceMs: Array<number | undefined> = [];
	const before = [...benchMeasure.sample(world).values()];
	const callsBefore = world.store.calls;
	const startMs = world.clock.nowMs();
	const cpuBefore = cpuMs();
	let generationMs = 0;
	for (let change = 0; change < changes; change++) {
		const generationStart = cpuMs();
		const revision = benchWorld.configure(world.store, recordsOf(options, 2 + change));
		generationMs += cpuMs() - generationStart;
		const isInForce = (node: benchWorld.BenchNode) => node.fleet.snapshot().revision === revision;
		inForceMs.push(await benchMeasure.timeUntil(world, isInForce, changeLimitMs));
		await world.advance(1000);
	}

	const seconds = (world.clock.nowMs() - startMs) / 1000;
	const steadyCpuMs = (steady.cpuPercent / 100) * seconds * 1000;
	const sumOf = (items: Array<{callBytes: number}>) =>
		items.reduce((sum, item) => sum + item.callBytes, 0);
	const bytes = sumOf([...benchMeasure.sample(world).values()]) - sumOf(before);
	const spentMs = (cpuMs() - cpuBefore - generationMs) / options.daemons;
	const steadyCalls = steady.storeCallsPerSecond * seconds;
	const result = {
		inForceMs,
		cpuMsPerChange: (spentMs - steadyCpuMs) / changes,
		storeCallsPerChange: (world.store.calls - callsBefore - steadyCalls) / changes,
		callBytesPerChange: bytes / options.daemons / changes,
	};
	await world.dispose();
	return result;
};

export type MemoryResult = {bytesPerDaemon: number};

/** Measures the heap and buffers of one daemon with all members and the catalogue. */
export const runMemoryCell = async (options: CellOptions): Promise<MemoryResult> => {
	const world = createWorld(options);
	benchWorld.configure(world.store, recordsOf(options));
	// The catalogue text in the store is part of the benchmark, not of a daemon, so it is subtracted.
	const before = await benchWorld.usedBytes();
	await startAll(world, benchWorld.createPlaces(options.daemons, options.domains));
	await benchMeasure.timeUntil(world, isSettled(world), joinLimitMs);
	await world.advance(options.settleMs);
	const bytesPerDaemon = ((await benchWorld.usedBytes()) - before) / options.daemons;
	await world.dispose();
	// Open watches keep references to their fleets until they time out.
	await new Promise((resolve) => {
		setTimeout(resolve, releaseMs);
	});
	return {bytesPerDaemon};
};

export type RecoveryResult = benchMeasure.Peak & {
	/** Time until all new daemons are ready. */
	readyMs: number | undefined;
	/** Time until all daemons list the new daemons and none of the replaced ones. */
	recoveredMs: number | undefined;
};

/** Replaces a whole failure domain at once, with or without a working store. */
export const runRecoveryCell = async (
	options: CellOptions,
	isStoreUp: boolean,
): Promise<RecoveryResult> => {
	const {world, seeds} = await createSettledWorld(options);
	await world.advance(options.settleMs);
	const lost = world.nodes.filter((node) => node.place.failureDomain === 'domain-1');
	for (const node of lost) {
		await world.stop(node);
	}

	world.store.mode = isStoreUp ? 'up' : 'down';
	const startMs = world.clock.nowMs();
	const replacements = lost.map(async ({place}) => {
		const address = place.address.replace('.0.', '.9.');
		await world.start({...place, name: `${place.name}-new`, address}, seeds);
	});
	await Promise.all(replacements);
	const fresh = world.nodes.filter((node) => node.place.name.endsWith('-new'));
	let readyMs: number | undefined;
	let recoveredMs: number | undefined;
	const peak: benchMeasure.Peak = {bytesOfOneDaemon: 0, messagesOfOneDaemon: 0, storeCalls: 0};
	while (recoveredMs === undefined && world.clock.nowMs() - startMs < recoveryLimitMs) {
		const next = await benchMeasure.measurePeak(world, 1);
		peak.bytesOfOneDaemon = Math.max(peak.bytesOfOneDaemon, next.bytesOfOneDaemon);
		peak.messagesOfOneDaemon = Math.max(peak.messagesOfOneDaemon, next.messagesOfOneDaemon);
		peak.storeCalls = Math.max(peak.storeCalls, next.storeCalls);
		const elapsedMs = world.clock.nowMs() - startMs;
		if (fresh.every((node) => node.fleet.isReady())) {
			readyMs ??= elapsedMs;
		}

		if (world.nodes.every((node) => isSettled(world)(node))) {
			recoveredMs = elapsedMs;
		}
	}

	await world.dispose();
	return {...peak, readyMs, recoveredMs};
};
