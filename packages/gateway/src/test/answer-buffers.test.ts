// Guards against answers that upstreams keep open, which together passed the memory limit.
import * as tap from 'tap';
import * as answerBuffers from '../common/answer-buffers.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

tap.t.test('buffers of all attempts share one bound', async (t) => {
	const buffers = answerBuffers.createAnswerBuffers(1000);
	const first = buffers.add();
	const second = buffers.add();
	t.ok(first.set(900));
	t.ok(second.set(100));
	t.notOk(second.set(101), 'the one that grows is over the bound');
	t.equal(buffers.bytes, 1001);
	first.set(0);
	t.ok(second.set(900));
	second.set(0);
	t.equal(buffers.bytes, 0);
});

// Guards against an answer in pieces of one byte, each of which took a buffer of its own: ten of them ended a daemon.
tap.t.test('an answer in very small pieces is kept as one', async (t) => {
	const {transport, reply} = engineHarness.start(fixtures.lookupRoute);
	let writes = 0;
	const write = reply.write.bind(reply);
	reply.write = (bytes) => {
		writes++;
		return write(bytes);
	};

	transport.last.listener.onHead(200, engineHarness.signed);
	for (let index = 0; index < 5000; index++) {
		transport.last.listener.onData(new Uint8Array([97]));
	}

	transport.last.listener.onEnd();
	t.equal(reply.text, 'a'.repeat(5000));
	t.equal(writes, 1);
});

tap.t.test(
	'while all attempts hold back too much, an answer is passed on as it comes',
	async (t) => {
		const buffers = answerBuffers.createAnswerBuffers(1000);
		const {transport, reply} = engineHarness.start(fixtures.lookupRoute, {buffers});
		transport.last.listener.onHead(200, engineHarness.signed);
		transport.last.listener.onData(new Uint8Array(1000));
		t.equal(reply.text.length, 0);
		transport.last.listener.onData(new Uint8Array(1));
		t.equal(reply.text.length, 1001);
		t.equal(buffers.bytes, 0);
		transport.last.listener.onEnd();
		t.equal(reply.ending, 'complete');
	},
);

tap.t.test('while all attempts hold back too much, a long event fails its attempt', async (t) => {
	const buffers = answerBuffers.createAnswerBuffers(1000);
	const {transport, reply} = engineHarness.start(fixtures.shortRoute, {buffers});
	transport.last.listener.onHead(200, engineHarness.signed);
	transport.last.listener.onData(engineHarness.bytes(`data: ${'a'.repeat(10_000)}`));
	t.equal(transport.sent.length, 1, 'one of the usual size is kept');
	transport.last.listener.onData(engineHarness.bytes('a'.repeat(10_000)));
	t.equal(transport.sent.length, 2, 'another upstream is asked');
	t.equal(reply.text, '');
	transport.last.listener.onHead(200, engineHarness.signed);
	transport.last.listener.onData(engineHarness.bytes('id: 1\ndata: b\n\n'));
	transport.last.listener.onEnd();
	t.equal(buffers.bytes, 0);
});
