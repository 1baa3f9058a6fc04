/**
 * Metrics on prom-client. The default collectors stay off: their event loop
 * monitor alone costs more processor time than the budget for control.
 */
import * as process from 'node:process';
import * as prom from 'prom-client';

export type Registry = prom.Registry;

/** Creates a registry with resident memory and processor time only. */
export const createRegistry = (labels: Record<string, string>): Registry => {
	const registry = new prom.Registry();
	registry.setDefaultLabels(labels);
	const memory = new prom.Gauge({
		name: 'process_resident_memory_bytes',
		help: 'Resident memory',
		registers: [registry],
		collect() {
			memory.set(process.memoryUsage.rss());
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

/** Creates a counter in a registry. */
export const createCounter = (
	registry: Registry,
	name: string,
	help: string,
	labelNames: string[] = [],
): prom.Counter => new prom.Counter({name, help, labelNames, registers: [registry]});

/** Creates a gauge that is read when metrics are scraped. */
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

/** Creates a gauge with one label, whose values are read when metrics are scraped. */
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

/** Creates a histogram in a registry; `buckets` are in the unit that the name ends with. */
export const createHistogram = (
	registry: Registry,
	name: string,
	help: string,
	labelNames: string[],
	buckets: number[],
): prom.Histogram => new prom.Histogram({name, help, labelNames, buckets, registers: [registry]});
