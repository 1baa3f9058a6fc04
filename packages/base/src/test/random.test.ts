// Guards against similar streams for consecutive seeds, which would give all daemons the same jitter.
import * as tap from 'tap';
import * as random from '../common/random.js';

const meanOf = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
};

const streams = {
	'first number': (seed: number) => random.createRandom(seed).next(),
	'first number of a fork': (seed: number) => random.createRandom(seed).fork().next(),
};

for (const [name, first] of Object.entries(streams)) {
	tap.t.test(`${name} is uniform over consecutive seeds`, (t) => {
		const values = Array.from({length: 2000}, (_, index) => first(index));
		// Uniform numbers have mean 1/2 and mean square 1/3; both bounds exceed four standard deviations.
		t.ok(Math.abs(meanOf(values) - 1 / 2) < 0.03, `mean ${meanOf(values)}`);
		const meanSquare = meanOf(values.map((value) => value ** 2));
		t.ok(Math.abs(meanSquare - 1 / 3) < 0.03, `mean square ${meanSquare}`);
		const steps = values.slice(1).map((value, index) => value * values[index]!);
		t.ok(Math.abs(meanOf(steps) - 1 / 4) < 0.03, `mean product of neighbours ${meanOf(steps)}`);
		t.end();
	});
}

tap.t.test('the same seed gives the same numbers', (t) => {
	const draw = () => {
		const stream = random.createRandom(7);
		return Array.from({length: 5}, () => stream.next());
	};

	t.same(draw(), draw());
	t.end();
});
