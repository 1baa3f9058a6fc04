/** Measures one cell of the control measurement: rates for each role and times of changes. */
import * as process from 'node:process';
import * as counting from '../common/counters.js';
import type * as benchWorld from './bench-world.js';

/** Bytes of the IPv4 and UDP headers of one datagram. */
const headerBytes = 28;

/** Means over the daemons of one role, for one daemon and second. */
export type Rates = {
	daemons: number;
	messagesSent: number;
	messagesReceived: number;
	/** Payload and headers of datagrams. */
	bytesSent: number;
	bytesReceived: number;
	/** JSON text of configuration pulls and member lists, both ways. */
	callBytes: number;
	storeCalls: number;
};

export type CellResult = {
	plain: Rates;
	relay: Rates;
	/** Processor time of one daemon, in percent of one core, mean over all. */
	cpuPercent: number;
	/** Calls of the whole cluster to the store in one second. */
	storeCallsPerSecond: number;
};

type Sample = Map<string, counting.FleetCounters>;

export const sample = (world: benchWorld.World): Sample =>
	new Map(world.nodes.map((node) => [node.place.name, node.fleet.counters()]));

const zero: Rates = {
	daemons: 0,
	messagesSent: 0,
	messagesReceived: 0,
	bytesSent: 0,
	bytesReceived: 0,
	callBytes: 0,
	storeCalls: 0,
};

const ratesOf = (names: string[], before: Sample, after: Sample, seconds: number): Rates => {
	const rates = {...zero, daemons: names.length};
	const scale = 1 / seconds / Math.max(1, names.length);
	for (const name of names) {
		// A daemon that started meanwhile counts from zero.
		const old = before.get(name) ?? counting.createCounters();
		const now = after.get(name);
		if (!now) {
			continue;
		}

		const sent = now.messagesSent - old.messagesSent;
		const received = now.messagesReceived - old.messagesReceived;
		rates.messagesSent += sent * scale;
		rates.messagesReceived += received * scale;
		rates.bytesSent += (now.bytesSent - old.bytesSent + sent * headerBytes) * scale;
		rates.bytesReceived += (now.bytesReceived - old.bytesReceived + received * headerBytes) * scale;
		rates.storeCalls += (now.storeCalls - old.storeCalls) * scale;
		rates.callBytes += (now.callBytes - old.callBytes) * scale;
		rates.storeCalls += (now.storeCalls - old.storeCalls) * scale;
	}

	return rates;
};

/** Measures for `durationMs` of the clock of the world. */
export const measureCell = async (
	world: benchWorld.World,
	durationMs: number,
): Promise<CellResult> => {
	const before = sample(world);
	const callsBefore = world.store.calls;
	const cpuBefore = process.cpuUsage();
	const startMs = world.clock.nowMs();
	await world.advance(durationMs);
	const cpu = process.cpuUsage(cpuBefore);
	const seconds = (world.clock.nowMs() - startMs) / 1000;
	const after = sample(world);
	const isRelay = (node: benchWorld.BenchNode) => node.fleet.relays().includes(node.place.name);
	const nameOf = (node: benchWorld.BenchNode) => node.place.name;
	const relays = world.nodes.filter((node) => isRelay(node)).map((node) => nameOf(node));
	const plain = world.nodes.filter((node) => !isRelay(node)).map((node) => nameOf(node));
	return {
		plain: ratesOf(plain, before, after, seconds),
		relay: ratesOf(relays, before, after, seconds),
		cpuPercent: ((cpu.user + cpu.system) / 1e6 / seconds / world.nodes.length) * 100,
		storeCallsPerSecond: (world.store.calls - callsBefore) / seconds,
	};
};

/** Time until a condition holds at all daemons; undefined when the limit passes. */
export const timeUntil = async (
	world: benchWorld.World,
	isReached: (node: benchWorld.BenchNode) => boolean,
	limitMs: number,
): Promise<number | undefined> => {
	const stepMs = 20;
	const startMs = world.clock.nowMs();
	while (world.clock.nowMs() - startMs < limitMs) {
		if (world.nodes.every((node) => isReached(node))) {
			return world.clock.nowMs() - startMs;
		}

		await world.advance(stepMs);
	}

	return undefined;
};

/** Highest rates of one second while something happens. */
export type Peak = {
	/** Datagrams and calls of the daemon that moved the most, bytes both ways in one second. */
	bytesOfOneDaemon: number;
	messagesOfOneDaemon: number;
	/** Calls of the cluster to the store in one second. */
	storeCalls: number;
};

/** Watches the rates of each second for `seconds`. */
export const measurePeak = async (world: benchWorld.World, seconds: number): Promise<Peak> => {
	const peak: Peak = {bytesOfOneDaemon: 0, messagesOfOneDaemon: 0, storeCalls: 0};
	let before = sample(world);
	let callsBefore = world.store.calls;
	for (let second = 0; second < seconds; second++) {
		await world.advance(1000);
		const after = sample(world);
		for (const name of after.keys()) {
			const rates = ratesOf([name], before, after, 1);
			const bytes = rates.bytesSent + rates.bytesReceived + rates.callBytes;
			peak.bytesOfOneDaemon = Math.max(peak.bytesOfOneDaemon, bytes);
			peak.messagesOfOneDaemon = Math.max(
				peak.messagesOfOneDaemon,
				rates.messagesSent + rates.messagesReceived,
			);
		}

		peak.storeCalls = Math.max(peak.storeCalls, world.store.calls - callsBefore);
		callsBefore = world.store.calls;
		before = after;
	}

	return peak;
};
