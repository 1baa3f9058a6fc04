/**
 * Settings that the platform fills in. A value that is missing, unreadable or outside the
 * supported range is replaced, because it would stop every daemon of a deployment at once.
 */

export type NumberRange = {
	/** Replaces a missing value and a text that is no number; undefined for a limit that is not known. */
	initial: number | undefined;
	minimum: number;
	maximum: number;
};

/** A value that was replaced, with its section and key. */
export type SettingAdjustment = {setting: string; value: string; inForce: string};

type Sections = Record<string, Record<string, unknown>>;

/** Sections and keys are those of the settings schema. */
export const numberRanges = {
	vm: {
		processorShare: {initial: 1, minimum: 0.01, maximum: 64},
	},
	limits: {
		memoryMb: {initial: undefined, minimum: 16, maximum: 1_048_576},
		maxDescriptors: {initial: undefined, minimum: 64, maximum: 10_000_000},
	},
	stop: {
		graceS: {initial: 8, minimum: 0.5, maximum: 600},
	},
	resends: {
		share: {initial: 0.2, minimum: 0, maximum: 1},
		extraPerWindow: {initial: 54, minimum: 0, maximum: 1_000_000},
		windowS: {initial: 10, minimum: 0.1, maximum: 600},
	},
	quotas: {
		windowS: {initial: 8, minimum: 0.1, maximum: 600},
		excessShare: {initial: 0.1, minimum: 0, maximum: 10},
		slack: {initial: 0, minimum: 0, maximum: 1_000_000_000_000},
	},
	directory: {
		timeToLiveS: {initial: 2, minimum: 0.1, maximum: 60},
	},
} satisfies Record<string, Record<string, NumberRange>>;

const maxValueLength = 60;
const noValue = 'none';
const addressPattern = /^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/u;

/** The number in force; undefined without one. */
const fitNumber = (text: string, {initial, minimum, maximum}: NumberRange): number | undefined => {
	const value = Number(text);
	if (text === '' || Number.isNaN(value)) {
		return initial;
	}

	// A limit below every real one states that there is none.
	const lowest = initial === undefined ? undefined : minimum;
	return value < minimum ? lowest : Math.min(value, maximum);
};

/** Text of a value; a repeated key or a section counts as missing. */
const textOf = (value: unknown): string => (typeof value === 'string' ? value.trim() : '');

/** INI reads the names `true`, `false` and `null` as other types. */
const restoreTexts = (section: unknown): Record<string, unknown> => {
	const entries = typeof section === 'object' && section !== null ? Object.entries(section) : [];
	return Object.fromEntries(
		entries.map(([key, value]) => [
			key,
			typeof value === 'boolean' || value === null ? String(value) : (value as unknown),
		]),
	);
};

/** Replaces values in place. */
export const adaptPlatformValues = (raw: Record<string, unknown>): SettingAdjustment[] => {
	const adjustments: SettingAdjustment[] = [];
	const note = (setting: string, value: string, inForce: number | string | undefined) => {
		adjustments.push({
			setting,
			value: value.slice(0, maxValueLength),
			inForce: inForce === undefined ? noValue : String(inForce),
		});
	};

	for (const [name, section] of Object.entries(raw)) {
		if (typeof section === 'object' && section !== null) {
			raw[name] = restoreTexts(section);
		}
	}

	const sections = raw as Sections;
	const adaptNumbers = (name: string, ranges: Record<string, NumberRange>) => {
		const section = sections[name];
		for (const [key, range] of Object.entries(ranges)) {
			// A section or key that is not in the file has the default of the schema.
			if (typeof section !== 'object' || !(key in section)) {
				continue;
			}

			const text = textOf(section[key]);
			const inForce = fitNumber(text, range);
			// A limit that the platform leaves empty is usual.
			if (inForce !== Number(text) && !(text === '' && range.initial === undefined)) {
				note(`${name}.${key}`, text, inForce);
			}

			section[key] = inForce;
		}
	};

	for (const [name, ranges] of Object.entries(numberRanges)) {
		adaptNumbers(name, ranges);
	}

	const {listen, peers} = sections;
	if (typeof listen === 'object' && 'metrics' in listen) {
		const metrics = textOf(listen.metrics);
		const isTaken = Object.entries(listen).some(
			([key, address]) => key !== 'metrics' && address === metrics,
		);
		// The daemon serves without metrics if the platform has no port for them.
		if (isTaken || !addressPattern.test(metrics)) {
			note('listen.metrics', metrics, undefined);
			delete listen.metrics;
		}
	}

	if (typeof peers === 'object' && 'seedAddresses' in peers) {
		const text = textOf(peers.seedAddresses);
		const seeds = text.split(',').map((seed) => seed.trim());
		const valid = seeds.filter((seed) => addressPattern.test(seed));
		if (text !== '' && valid.length < seeds.length) {
			note('peers.seedAddresses', text, valid.join(',') || undefined);
		}

		peers.seedAddresses = valid.join(',');
	}

	return adjustments;
};
