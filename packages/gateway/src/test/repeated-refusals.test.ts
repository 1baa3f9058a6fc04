// An earlier refusal that an upstream wrote again was taken for the answer to the next request on its connection.
import * as tap from 'tap';
import type * as wireFormat from '../common/wire-format.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {start} = engineHarness;

const refusals: Array<[string, number, wireFormat.Headers]> = [
	['a refusal without an id', 503, {refused: '1'}],
	['a refusal of another request', 503, {refused: '1', attempt: 'attempt-0'}],
	['a wrong upstream without an id', 421, {}],
	['a wrong upstream for another request', 421, {attempt: 'attempt-0'}],
	['a limit without an id', 429, {refused: '1'}],
];

for (const [name, status, headers] of refusals) {
	// Guards against callers that are told that a request has not run while its upstream runs it.
	tap.t.test(`${name} is no proof: a request that may run once is not resent`, (t) => {
		const {transport, reply} = start(fixtures.bookingRoute, {upstreams: 2});
		transport.last.listener.onHead(status, headers);
		t.equal(transport.sent.length, 1);
		t.ok(transport.last.isCancelled);
		t.match(reply, {status: 502, text: /"outcome":"unknown"/u});
		t.end();
	});
}

tap.t.test('a request that may be repeated goes to another upstream', (t) => {
	const {transport, reply} = start(fixtures.lookupRoute, {upstreams: 2});
	transport.last.listener.onHead(503, {refused: '1'});
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(503, {refused: '1'});
	t.equal(reply.status, 502, 'it may run at both');
	t.end();
});

tap.t.test('a refusal of the request itself is a proof', async (t) => {
	const {clock, transport, reply} = start(fixtures.bookingRoute, {upstreams: 1});
	transport.last.listener.onHead(503, engineHarness.refused);
	await clock.advance(1000);
	t.match(reply, {status: 503, text: /not-run/u});
});
