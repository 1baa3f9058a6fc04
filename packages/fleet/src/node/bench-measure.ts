/** Measurements of the control benchmark: rates for each role, times and peaks. */
import * as process from 'node:process';
import * as counting from '../common/counters.js';
import type * as benchWorld from './bench-world.js';

/** IPv4 and UDP headers of one datagram. */
const headerBytes = 28;

/** Rates per daemon and second, as means over the daemons of one role. */
export type Rates = {
	daemons: number;
	messagesSent: number;
	messagesReceived: number;
	/** Payload and headers of the datagrams. */
	bytesSent: number;
	bytesReceived: number;
	/** JSON text of configuration pulls and member lists, sent and received. */
	callBytes: number;
	storeCalls: number;
};

export type CellResult = {
	plain: Rates;
	relay: Rates;
	/** Mean processor time of one daemon, in percent of one core. */
	cpuPercent: number;
	/** Calls of the whole cluster to the store per second. */
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
		// The counters of a daemon that started during the measurement begin at zero.
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

/** Measures rates for `durationMs` on the clock of the world. */
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

/** Time until a condition holds at all daemons; undefined when `limitMs` elapses first. */
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

/** Highest rates in any one second of a measurement. */
export type Peak = {
	/** Bytes of datagrams and calls, sent and received, of the daemon with the most traffic. */
	bytesOfOneDaemon: number;
	messagesOfOneDaemon: number;
	/** Calls of the cluster to the store. */
	storeCalls: number;
};

/** Samples the rates every second for `seconds`. */
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
