// Guards against a network that lets traffic through a cut, or that serializes a stream by its delay.
import * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as tap from 'tap';
import * as faultyNetwork from '../common/faulty-network.js';

const peer = '10.0.0.2:80';

class FakeClient extends httpClient.HttpClient {
	requests = 0;
	signal: AbortSignal | undefined;
	readonly #clock: manualClock.ManualClock;

	constructor(clock: manualClock.ManualClock) {
		super();
		this.#clock = clock;
	}

	override async request(request: httpClient.HttpRequest) {
		this.requests++;
		this.signal = request.signal;
		return {status: 200, headers: {}, body: this.#stream()};
	}

	override async close() {
		this.requests = 0;
	}

	async *#stream() {
		for (let index = 0; index < 10; index++) {
			await this.#clock.sleep(10);
			yield new Uint8Array([index]);
		}
	}
}

class FakeSocket extends datagramSocket.DatagramSocket {
	readonly sent: Uint8Array[] = [];
	override readonly onDidReceive = event.createEmitter<datagramSocket.Datagram>().event;

	override send(_peer: string, bytes: Uint8Array) {
		this.sent.push(bytes);
	}

	override dispose() {
		this.sent.length = 0;
	}
}

const create = () => {
	const clock = new manualClock.ManualClock();
	const network = faultyNetwork.createFaultyNetwork({clock, random: random.createRandom(1)});
	network.addAddress(peer, 'east');
	const inner = new FakeClient(clock);
	return {clock, network, inner, client: network.wrapHttpClient(inner, 'west')};
};

const get = (timeoutMs = 1000) => ({peer, method: 'GET', path: '/', timeoutMs});

type Outcome = {bytes: number[]; endedAtMs?: number; error?: unknown};

const start = (
	clock: manualClock.ManualClock,
	client: httpClient.HttpClient,
	request: httpClient.HttpRequest,
): Outcome => {
	const outcome: Outcome = {bytes: []};
	const run = async () => {
		try {
			const answer = await client.request(request);
			for await (const bytes of answer.body) {
				outcome.bytes.push(...bytes);
			}

			outcome.endedAtMs = clock.nowMs();
		} catch (error) {
			outcome.error = error;
		}
	};

	void run();
	return outcome;
};

tap.t.test('delay applies once to a stream, not to each part', async (t) => {
	const {clock, network, client} = create();
	network.setLink('west', 'east', {delayMs: 50});
	const outcome = start(clock, client, get());
	await clock.advance(5000);
	t.same(outcome.bytes, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
	t.equal(outcome.endedAtMs, 50 + 50 + 100 + 50);
});

tap.t.test('a request into a cut never arrives and may have been sent', async (t) => {
	const {clock, network, client, inner} = create();
	network.cut('west', 'east', 'one-way');
	const outcome = start(clock, client, get());
	await clock.advance(500);
	network.healAll();
	await clock.advance(600);
	t.equal(inner.requests, 0);
	t.match(outcome.error, {mayHaveBeenSent: true, message: 'no answer within 1000 ms'});
});

tap.t.test('a cut of the way back lets the request run but loses the answer', async (t) => {
	const {clock, network, client, inner} = create();
	network.cut('east', 'west', 'one-way');
	const outcome = start(clock, client, get());
	await clock.advance(2000);
	t.equal(inner.requests, 1);
	t.match(outcome.error, {mayHaveBeenSent: true});
});

for (const from of ['west', 'east']) {
	tap.t.test(`a cut from ${from} breaks a body in progress`, async (t) => {
		const {clock, network, client, inner} = create();
		network.setLink('west', 'east', {delayMs: 20});
		const outcome = start(clock, client, get());
		await clock.advance(100);
		network.cut(from, from === 'west' ? 'east' : 'west', 'one-way');
		await clock.advance(1);
		t.match(outcome.error, {message: 'the link was cut'});
		t.ok(outcome.bytes.length > 0 && outcome.bytes.length < 10);
		t.equal(inner.signal?.aborted, true);
	});
}

tap.t.test('the time limit ends with the headers', async (t) => {
	const {clock, client} = create();
	const outcome = start(clock, client, get(30));
	await clock.advance(5000);
	t.equal(outcome.bytes.length, 10);
});

tap.t.test('datagrams: delay, rate, loss and cuts', async (t) => {
	const {clock, network} = create();
	const inner = new FakeSocket();
	const socket = network.wrapDatagramSocket(inner, 'west');
	network.setLink('west', 'east', {delayMs: 50, rateBitsPerSecond: 8000});
	socket.send(peer, new Uint8Array(100));
	socket.send(peer, new Uint8Array(100));
	await clock.advance(150);
	t.equal(inner.sent.length, 1, 'a hundred bytes take 100 ms at 8000 bits per second');
	await clock.advance(100);
	t.equal(inner.sent.length, 2);
	socket.send(peer, new Uint8Array(1));
	network.isolate('west');
	socket.send(peer, new Uint8Array(1));
	await clock.advance(1000);
	t.equal(inner.sent.length, 2);
	network.healAll();
	network.setLink('west', 'east', {loss: 1});
	socket.send(peer, new Uint8Array(1));
	await clock.advance(1000);
	t.equal(network.link('west', 'east').counts.lostDatagrams, 2);
	t.equal(inner.sent.length, 2);
});
