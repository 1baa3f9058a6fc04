// Guards against a value of the platform that keeps all daemons of a deployment from starting (issue 39).
import * as tap from 'tap';
import * as platformValues from '../common/platform-values.js';

/** Value in force for a number of the settings. */
const adapt = (section: string, key: string, value: unknown) => {
	const raw = {[section]: {[key]: value}};
	const adjustments = platformValues.adaptPlatformValues(raw);
	return {inForce: raw[section]![key], adjustments};
};

tap.t.test('a number in its range stays as it is', async (t) => {
	t.strictSame(adapt('stop', 'graceS', '8'), {inForce: 8, adjustments: []});
	t.strictSame(adapt('resends', 'share', '0'), {inForce: 0, adjustments: []});
	t.strictSame(adapt('limits', 'memoryMb', '350.0'), {inForce: 350, adjustments: []});
});

tap.t.test('a number outside its range is brought into it and reported', async (t) => {
	const cases: Array<[section: string, key: string, value: string, inForce: number]> = [
		['stop', 'graceS', '0', 0.5],
		['stop', 'graceS', '-1', 0.5],
		['stop', 'graceS', '1e9', 600],
		['stop', 'graceS', 'Infinity', 600],
		['resends', 'share', '1.5', 1],
		['resends', 'extraPerWindow', '-3', 0],
		['resends', 'windowS', '3600', 600],
		['directory', 'timeToLiveS', '0', 0.1],
		['vm', 'processorShare', '0.005', 0.01],
		['limits', 'memoryMb', '2000000', 1_048_576],
	];
	for (const [section, key, value, inForce] of cases) {
		t.strictSame(
			adapt(section, key, value),
			{inForce, adjustments: [{setting: `${section}.${key}`, value, inForce: String(inForce)}]},
			`${key} = ${value}`,
		);
	}
});

tap.t.test('a value that is no number gives the default', async (t) => {
	for (const value of ['', 'NaN', '8,0', 'null', 'soon', true]) {
		t.match(
			adapt('stop', 'graceS', value),
			{inForce: 8, adjustments: [{setting: 'stop.graceS', inForce: '8'}]},
			String(value),
		);
	}

	t.match(adapt('resends', 'extraPerWindow', ''), {inForce: 54});
	t.match(adapt('resends', 'share', ''), {inForce: 0.2});
});

tap.t.test('a limit that is empty, or below every real one, is not known', async (t) => {
	t.strictSame(adapt('limits', 'memoryMb', ''), {inForce: undefined, adjustments: []});
	t.strictSame(adapt('limits', 'maxDescriptors', '0'), {
		inForce: undefined,
		adjustments: [{setting: 'limits.maxDescriptors', value: '0', inForce: 'none'}],
	});
});

tap.t.test('a missing section or key is left to the schema', async (t) => {
	const raw = {stop: {}};
	t.strictSame(platformValues.adaptPlatformValues(raw), []);
	t.strictSame(raw, {stop: {}});
	t.strictSame(platformValues.adaptPlatformValues({stop: 'text'}), []);
});

tap.t.test('seeds that are no addresses are left out', async (t) => {
	t.match(adapt('peers', 'seedAddresses', 'front-a:8146, 10.1.0.35:8146,,'), {
		inForce: '10.1.0.35:8146',
		adjustments: [{setting: 'peers.seedAddresses', inForce: '10.1.0.35:8146'}],
	});
	t.match(adapt('peers', 'seedAddresses', null), {inForce: '', adjustments: [{inForce: 'none'}]});
	t.strictSame(adapt('peers', 'seedAddresses', ''), {inForce: '', adjustments: []});
});

tap.t.test('without a port of its own, there are no metrics', async (t) => {
	const addresses = {callers: '10.1.0.35:8144', peers: '10.1.0.35:7660'};
	for (const metrics of ['10.1.0.35:', '10.1.0.35:7660']) {
		const raw = {listen: {...addresses, metrics}};
		t.match(platformValues.adaptPlatformValues(raw), [{setting: 'listen.metrics', value: metrics}]);
		t.strictSame(raw, {listen: addresses});
	}

	const raw = {listen: {...addresses, metrics: '10.1.0.35:7675'}};
	t.strictSame(platformValues.adaptPlatformValues(raw), []);
});

tap.t.test('names that INI reads as other types are texts', async (t) => {
	const raw = {vm: {name: true}, failureDomains: {a: null, b: false}};
	t.strictSame(platformValues.adaptPlatformValues(raw), []);
	t.strictSame(raw, {vm: {name: 'true'}, failureDomains: {a: 'null', b: 'false'}});
});
