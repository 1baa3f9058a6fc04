/**
 * Metrics with prom-client. The default collectors are disabled, because their
 * event loop monitor alone exceeds the CPU budget of the control plane.
 */
import * as process from 'node:process';
import * as prom from 'prom-client';
import * as residentMemory from './resident-memory.js';

export type Registry = prom.Registry;

/** Creates a registry with the metrics for resident memory and CPU time. */
export const createRegistry = (labels: Record<string, string>): Registry => {
	const registry = new prom.Registry();
	registry.setDefaultLabels(labels);
	const readResidentBytes = residentMemory.createResidentMemoryReader();
	const memory = new prom.Gauge({
		name: 'process_resident_memory_bytes',
		help: 'Resident memory',
		registers: [registry],
		collect() {
			memory.set(readResidentBytes());
		},
	});
	const cpu = new prom.Gauge({
		name: 'process_cpu_seconds_total',
		help: 'Processor time, user and system',
		registers: [registry],
		collect() {
			const usage = process.cpuUsage();
			cpu.set((usage.user + usage.system) / 1e6);
		},
	});
	return registry;
};

export const createCounter = (
	registry: Registry,
	name: string,
	help: string,
	labelNames: string[] = [],
): prom.Counter => new prom.Counter({name, help, labelNames, registers: [registry]});

/** Creates a gauge whose value is read on each scrape. */
export const createGauge = (
	registry: Registry,
	name: string,
	help: string,
	read: () => number,
): prom.Gauge => {
	const gauge = new prom.Gauge({
		name,
		help,
		registers: [registry],
		collect() {
			gauge.set(read());
		},
	});
	return gauge;
};

/** Creates a gauge with one label, whose values are read on each scrape. */
export const createLabelledGauge = (
	registry: Registry,
	name: string,
	help: string,
	labelName: string,
	read: () => Record<string, number>,
): prom.Gauge => {
	const gauge = new prom.Gauge({
		name,
		help,
		labelNames: [labelName],
		registers: [registry],
		collect() {
			for (const [label, value] of Object.entries(read())) {
				gauge.set({[labelName]: label}, value);
			}
		},
	});
	return gauge;
};

/** Creates a histogram; `buckets` use the unit in the suffix of `name`. */
export const createHistogram = (
	registry: Registry,
	name: string,
	help: string,
	labelNames: string[],
	buckets: number[],
): prom.Histogram => new prom.Histogram({name, help, labelNames, buckets, registers: [registry]});
