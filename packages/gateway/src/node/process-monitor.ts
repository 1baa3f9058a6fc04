/** Reports how near the process is to the limits that would end it: memory, heap, delays of the event loop. */
import * as v8 from 'node:v8';
import * as metrics from '@hawthornfront/base/node/metrics.js';
import * as residentMemory from '@hawthornfront/base/node/resident-memory.js';
import type * as gatewayEvent from '../common/gateway-event.js';

const bytesPerMb = 1_048_576;
/** Share of a limit from which a level begins. */
const levelStarts = {high: 0.75, critical: 0.9} as const;
/** A level ends this share below its start, so that it does not change back and forth. */
const levelMargin = 0.05;
/** Delays of the event loop from this time on are logged. */
const loggedLateMs = 500;
const lateBucketsMs = [5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000];

export type MemoryUse = {
	residentBytes: number;
	heapUsedBytes: number;
	heapLimitBytes: number;
	/** Buffers outside the heap. */
	externalBytes: number;
};

const readResidentBytes = residentMemory.createResidentMemoryReader();

export const readMemoryUse = (): MemoryUse => {
	const heap = v8.getHeapStatistics();
	return {
		residentBytes: readResidentBytes(),
		heapUsedBytes: heap.used_heap_size,
		heapLimitBytes: heap.heap_size_limit,
		externalBytes: heap.external_memory,
	};
};

/** Level of a share of a limit, given the level before. */
export const nextMemoryLevel = (
	share: number,
	previous: gatewayEvent.MemoryLevel,
): gatewayEvent.MemoryLevel => {
	const isAbove = (level: keyof typeof levelStarts, hasReached: boolean) =>
		share >= levelStarts[level] - (hasReached ? levelMargin : 0);
	if (isAbove('critical', previous === 'critical')) {
		return 'critical';
	}

	return isAbove('high', previous !== 'normal') ? 'high' : 'normal';
};

export type ProcessMonitorOptions = {
	nowMs(): number;
	registry: metrics.Registry;
	log: gatewayEvent.EventLog;
	/** Limit of the resident memory; undefined: unknown. */
	memoryLimitMb: number | undefined;
	/** What the daemon holds, by name: entries, connections or bytes. */
	held(): Record<string, number>;
	readMemoryUse(): MemoryUse;
};

export type ProcessMonitor = {
	/** Reads the memory and the delay of the event loop; call it every `periodMs`. */
	sample(periodMs: number): void;
};

export const createProcessMonitor = (options: ProcessMonitorOptions): ProcessMonitor => {
	const {nowMs, registry, log, held} = options;
	const limitBytes = options.memoryLimitMb && options.memoryLimitMb * bytesPerMb;
	let use = options.readMemoryUse();
	let level: gatewayEvent.MemoryLevel = 'normal';
	let sampledAtMs = nowMs();
	const createGauge = (name: string, help: string, read: () => number) =>
		metrics.createGauge(registry, name, help, read);
	createGauge(
		'hawthornfront_memory_limit_bytes',
		'Limit of the resident memory, 0 if unknown',
		() => limitBytes ?? 0,
	);
	createGauge('process_heap_used_bytes', 'Used heap', () => use.heapUsedBytes);
	createGauge(
		'process_heap_limit_bytes',
		'Heap size at which the process ends',
		() => use.heapLimitBytes,
	);
	createGauge('process_external_bytes', 'Buffers outside the heap', () => use.externalBytes);
	metrics.createLabelledGauge(
		registry,
		'hawthornfront_held',
		'What the daemon holds: entries, connections or bytes',
		'what',
		held,
	);
	const late = metrics.createHistogram(
		registry,
		'hawthornfront_loop_late_ms',
		'Delays of a timer of the event loop',
		[],
		lateBucketsMs,
	);

	const noteLevel = () => {
		const share = Math.max(
			limitBytes === undefined ? 0 : use.residentBytes / limitBytes,
			use.heapUsedBytes / use.heapLimitBytes,
		);
		const next = nextMemoryLevel(share, level);
		if (next === level) {
			return;
		}

		level = next;
		const toMb = (bytes: number) => Math.round(bytes / bytesPerMb);
		log.note({
			kind: 'memory',
			level,
			residentMb: toMb(use.residentBytes),
			limitMb: options.memoryLimitMb,
			heapUsedMb: toMb(use.heapUsedBytes),
			heapLimitMb: toMb(use.heapLimitBytes),
			externalMb: toMb(use.externalBytes),
			held: held(),
		});
	};

	return {
		sample(periodMs) {
			const lateMs = Math.max(0, nowMs() - sampledAtMs - periodMs);
			sampledAtMs = nowMs();
			late.observe(lateMs);
			if (lateMs >= loggedLateMs) {
				log.note({kind: 'loop-late', lateMs: Math.round(lateMs)});
			}

			use = options.readMemoryUse();
			noteLevel();
		},
	};
};
