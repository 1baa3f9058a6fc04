// Servers that never end the body of an answer, over loopback.
import * as tap from 'tap';
import * as textRequest from '../node/text-request.js';
import * as undiciHttpClient from '../node/undici-http-client.js';
import * as endlessUpstream from './endless-upstream.js';

const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

const createClient = (t: tap.Test) => {
	const client = new undiciHttpClient.UndiciHttpClient();
	t.teardown(async () => client.close());
	return client;
};

// A body had no limit of time, so that the calls of a loop could stop for good.
for (const [name, form] of [
	['comes slowly', {repeated: '1\r\na\r\n', pieceBytes: 6, pauseMs: 20, maxPieces: 100}],
	['is silent', {repeated: '1\r\na\r\n', pieceBytes: 6, pauseMs: 500, maxPieces: 1}],
	['comes in many bytes', {repeated: '8\r\naaaaaaaa\r\n', pieceBytes: 65_536}],
	['is a chunk extension', {repeated: '1;a=', pieceBytes: 65_536, pauseMs: 5, maxPieces: 400}],
] as const) {
	tap.t.test(`a body that never ends and ${name} is cancelled`, async (t) => {
		const upstream = await endlessUpstream.startEndlessUpstream(t, {head, ...form});
		const request = {peer: upstream.address, method: 'GET', path: '/x'};
		const call = textRequest.requestText(createClient(t), request, {
			maxBytes: 1_000_000,
			timeoutMs: 100,
		});
		const end = await Promise.race([
			call.then(
				() => 'answered',
				() => 'failed',
			),
			upstream.ended,
		]);
		t.not(end, 'gave-up');
		t.not(end, 'answered');
		t.equal(await upstream.ended, 'closed');
	});
}

tap.t.test('the signal of the request cancels a body', async (t) => {
	const upstream = await endlessUpstream.startEndlessUpstream(t, {
		head,
		repeated: '1\r\na\r\n',
		pieceBytes: 6,
		pauseMs: 20,
		maxPieces: 500,
	});
	const cancelling = new AbortController();
	const request = {peer: upstream.address, method: 'GET', path: '/x', signal: cancelling.signal};
	const call = textRequest.requestText(createClient(t), request, {
		maxBytes: 1_000_000,
		timeoutMs: 60_000,
	});
	setTimeout(() => {
		cancelling.abort(new Error('the caller left'));
	}, 50);
	await t.rejects(call, {message: 'the caller left'});
	t.equal(await upstream.ended, 'closed');
});
