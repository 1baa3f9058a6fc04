// The error of the next upstream got into a stream that had begun, or ended it as if it were complete.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import type * as wireFormat from '../common/wire-format.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start} = engineHarness;
const streamHeaders = {...signed, 'content-type': 'text/event-stream'};
const firstEvent = 'id: 1\ndata: a\n\n';

/** A stream that broke off after its first event, and the answer of the next upstream. */
const continueWith = (status: number, headers: wireFormat.Headers, body: string) => {
	const run = start(fixtures.shortRoute, {upstreams: 2});
	const {listener} = run.transport.last;
	listener.onHead(200, streamHeaders);
	listener.onData(bytes(firstEvent));
	listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	const next = run.transport.last;
	next.listener.onHead(status, headers);
	if (!next.isCancelled) {
		next.listener.onData(bytes(body));
		next.listener.onEnd();
	}

	return run;
};

const errorText = '{"error":"no memory"}';
const errorHead = `HTTP/1.1 500 Internal Server Error\r\ncontent-length: ${errorText.length}\r\n\r\n`;

for (const [name, status, headers, body] of [
	['a failure', 500, signed, errorText],
	['a failure of the request', 404, signed, errorText],
	['a refusal', 503, engineHarness.refused, errorText],
	['a refusal of another daemon', 503, {[relayHeaders.outcomeHeader]: 'not-run'}, errorText],
	['a success without content', 204, signed, ''],
	[
		'an error with the status of a success',
		200,
		{...signed, 'content-type': 'text/plain'},
		errorText,
	],
	[
		'one that looks like events',
		200,
		{...signed, 'content-type': 'text/plain'},
		`${errorText}\n\n`,
	],
	['an error in place of events', 200, streamHeaders, errorText],
	['a whole head in place of events', 200, streamHeaders, errorHead + errorText],
] as const) {
	tap.t.test(`a stream that has begun does not continue with ${name}`, async (t) => {
		const {clock, reply} = continueWith(status, headers, body);
		await clock.advance(fixtures.shortRoute.timeoutMs);
		t.equal(reply.text, firstEvent);
		t.equal(reply.ending, 'broken');
	});
}

tap.t.test('it continues with the events of another upstream', async (t) => {
	const headers = {...signed, 'content-type': 'text/event-stream; charset=utf-8'};
	const {reply} = continueWith(200, headers, 'id: 2\ndata: b\n\n');
	t.equal(reply.text, `${firstEvent}id: 2\ndata: b\n\n`);
	t.equal(reply.ending, 'complete');
});
