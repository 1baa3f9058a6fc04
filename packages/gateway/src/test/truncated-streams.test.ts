// A stream without length that ended inside an event reached its caller as a complete answer.
import * as tap from 'tap';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

tap.t.test('a stream that ends inside an event breaks the answer', async (t) => {
	const {transport, reply, endEvent} = start(fixtures.longRoute);
	const {listener} = transport.last;
	listener.onHead(200, signed);
	listener.onData(bytes('id: 1\ndata: a\n\nid: 2\nda'));
	listener.onEnd('connection');
	t.match(reply, {text: 'id: 1\ndata: a\n\n', ending: 'broken'});
	t.match(endEvent(), {outcome: 'broken', reason: 'ended-inside-event'});
});

tap.t.test('it is resumed after its last whole event', async (t) => {
	const {transport, reply} = start(fixtures.shortRoute);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 1\ndata: a\n\nid: 2\nda'));
	transport.last.listener.onEnd('connection');
	t.equal(transport.sent.length, 2);
	t.equal(headerOf(transport.last, 'after'), '1');
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 2\ndata: b\n\n'));
	transport.last.listener.onEnd();
	t.match(reply, {text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', ending: 'complete'});
});

for (const text of ['', 'id: 1\nda']) {
	tap.t.test(
		`a stream that ends before its first whole event is no answer: "${text}"`,
		async (t) => {
			const {transport, reply} = start(fixtures.longRoute);
			transport.last.listener.onHead(200, signed);
			transport.last.listener.onData(bytes(text));
			transport.last.listener.onEnd('connection');
			t.match(reply, {status: 502, ending: 'complete', text: /"outcome":"unknown"/u});
		},
	);
}
