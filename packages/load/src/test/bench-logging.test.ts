// The benchmark of the log's cost measures both ways.
import * as tap from 'tap';
import * as benchLogging from '../node/bench-logging.js';

tap.t.test('processor time is measured with and without lines', {timeout: 60_000}, async (t) => {
	const printed: string[] = [];
	const figures = await benchLogging.runLoggingBench({
		isQuick: true,
		print(text) {
			printed.push(text);
		},
	});
	t.same(
		figures.map(({requestsPerS}) => requestsPerS),
		[100, 1000],
	);
	for (const {withLinesMs, withoutLinesMs} of figures) {
		t.ok(withLinesMs > 0 && withoutLinesMs > 0, `${withLinesMs} and ${withoutLinesMs} ms`);
	}

	t.equal(printed.length, 2);
});
