// Guards against a wrong order or a crash when logs are malformed, unsorted or from skewed clocks.
import * as tap from 'tap';
import * as explaining from '../common/explain.js';

const line = (time: number, vm: string, kind: string, fields: Record<string, unknown> = {}) =>
	JSON.stringify({level: 30, time, vm, kind, ...fields});

tap.t.test('the lines of a relayed request are in order despite clock skew', async (t) => {
	const explanation = explaining.explainRequest('9c41', [
		line(700, 's1', 'request-sent', {request: '9c41', upstream: 'i-1'}),
		line(900, 's1', 'request-ended', {request: '9c41', outcome: 'answered'}),
		line(1000, 'n1', 'request-relayed', {request: '9c41', peer: 's1'}),
		line(1300, 'n1', 'request-ended', {request: '9c41', outcome: 'answered'}),
		line(1100, 'n1', 'request-sent', {request: 'other', upstream: 'i-2'}),
	]);
	t.ok(explanation.found);
	t.same(
		explanation.lines.slice(0, 4).map((text) => text.split('  ').slice(0, 3)),
		[
			['+0 ms', 'n1', 'request-relayed'],
			['+0 ms', 's1', 'request-sent'],
			['+200 ms', 's1', 'request-ended'],
			['+300 ms', 'n1', 'request-ended'],
		],
	);
	t.match(explanation.lines[4], 'clock of s1 is behind by 300 ms');
});

tap.t.test('the state held for the upstream is printed with its age', async (t) => {
	const {lines} = explaining.explainRequest('9c41', [
		line(100, 'n1', 'config-in-force', {version: 7}),
		line(200, 'n1', 'upstream', {change: 'seen', upstream: 'i-1'}),
		line(300, 'n1', 'upstream', {change: 'seen', upstream: 'i-2'}),
		line(400, 'n1', 'store-lost', {feed: 'upstreams'}),
		line(1000, 'n1', 'request-sent', {request: '9c41', upstream: 'i-1'}),
	]);
	t.same(lines.slice(1), [
		'n1 believed since 900 ms before: config-in-force  version=7',
		'n1 believed since 800 ms before: upstream  change=seen upstream=i-1',
		'n1 believed since 600 ms before: store-lost  feed=upstreams',
	]);
});

tap.t.test('malformed lines are counted and skipped', async (t) => {
	const {skipped, found} = explaining.explainRequest('9c41', [
		'{"level":30,"time":1,',
		'plain text',
		'',
		line(5, 'n1', 'request-sent', {request: '8888'}),
	]);
	t.equal(skipped, 2);
	t.notOk(found);
});
