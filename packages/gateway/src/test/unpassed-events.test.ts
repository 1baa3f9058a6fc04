// Events that a run sent but its caller never got were left out by the run that resumed the stream.
import * as random from '@hawthornfront/base/common/random.js';
import * as tap from 'tap';
import * as engineHarness from './engine-harness.js';
import type * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;
const streamHeaders = {...signed, 'content-type': 'text/event-stream'};
const route = {...fixtures.shortRoute, maxUpstreams: 5};
const garbage = '%#{0};;;@@!!....';
const pieces = 20;

const pieceOf = (id: number, newline = '\n') =>
	`id: ${id}${newline}data: piece ${id} of the answer${newline}${newline}`;

const piecesOf = (from: number, to: number, newline?: string) => {
	let text = '';
	for (let id = from; id <= to; id++) {
		text += pieceOf(id, newline);
	}

	return text;
};

type Sent = fakeTransport.SentRequest;

const begin = (sent: Sent, text: string) => {
	sent.listener.onHead(200, streamHeaders);
	sent.listener.onData(bytes(text));
};

const breakOff = (sent: Sent) => {
	sent.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
};

/** Answers whole behind the event that the request names. */
const answer = (sent: Sent, newline?: string) => {
	begin(sent, piecesOf(Number(headerOf(sent, 'after')) + 1, pieces, newline));
	sent.listener.onEnd();
};

const whole = {text: piecesOf(1, pieces), ending: 'complete'};

const spoilData = (id: number) => (text: string) => text.replace(`data: piece ${id} of`, garbage);
const spoilId = (id: number) => (text: string) => text.replace(`id: ${id}\n`, `${garbage}\n`);
const overwriteId = (id: number) => (text: string) =>
	text.replace(`id: ${id}\nd`, `id: ${garbage}`);

for (const [name, spoil] of [
	['the fourth of five', spoilData(8)],
	['the first of five', spoilData(5)],
	['the last of five', spoilData(9)],
	['an id of five', spoilId(8)],
	['a value of an id of five', overwriteId(8)],
] as const) {
	tap.t.test(`a run that spoils ${name} pieces has passed none of them`, async (t) => {
		const {transport, reply} = start(route, {upstreams: 5});
		begin(transport.last, `${piecesOf(1, 4)}id: 5\nda`);
		breakOff(transport.last);
		t.equal(headerOf(transport.last, 'after'), '4');
		begin(transport.last, spoil(piecesOf(5, 9)));
		t.equal(transport.sent.length, 3, 'another run goes on');
		t.equal(headerOf(transport.last, 'after'), '4');
		answer(transport.last);
		t.match(reply, whole);
	});
}

tap.t.test('a run that spoils the last pieces has not passed the end of the stream', async (t) => {
	const {transport, reply} = start(route, {upstreams: 5});
	begin(transport.last, piecesOf(1, 4));
	breakOff(transport.last);
	begin(transport.last, piecesOf(5, 15));
	transport.last.listener.onData(bytes(spoilData(18)(piecesOf(16, 20))));
	t.equal(headerOf(transport.last, 'after'), '15');
	answer(transport.last);
	t.match(reply, whole);
});

tap.t.test('spoilt pieces with other line ends are not passed either', async (t) => {
	const {transport, reply} = start(route, {upstreams: 5});
	begin(transport.last, piecesOf(1, 4, '\r\n'));
	breakOff(transport.last);
	begin(transport.last, spoilData(8)(piecesOf(5, 9, '\r\n')));
	answer(transport.last, '\r\n');
	t.match(reply, {text: piecesOf(1, pieces, '\r\n'), ending: 'complete'});
});

tap.t.test('a relay to another region asks for what the caller does not have', async (t) => {
	const {clock, fleet, transport, reply} = start(route, {upstreams: 2});
	begin(transport.last, piecesOf(1, 4));
	breakOff(transport.last);
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	begin(transport.last, spoilData(8)(piecesOf(5, 9)));
	await clock.advance(50);
	t.equal(transport.last.request.isRelay, true);
	t.equal(headerOf(transport.last, 'after'), '4');
	answer(transport.last);
	t.match(reply, whole);
});

tap.t.test('a run beside a stalled one goes on behind what the caller has', async (t) => {
	const {clock, transport, reply} = start(route, {upstreams: 5});
	begin(transport.last, piecesOf(1, 4));
	breakOff(transport.last);
	begin(transport.last, spoilData(8)(piecesOf(5, 9)));
	const third = transport.last;
	begin(third, piecesOf(5, 6));
	await clock.advance(1250);
	t.not(transport.last, third);
	t.equal(headerOf(transport.last, 'after'), '6');
	answer(transport.last);
	t.match(reply, whole);
});

tap.t.test('what an overlong event follows was passed', async (t) => {
	const {transport, reply} = start(route, {upstreams: 5});
	begin(transport.last, `${piecesOf(1, 4)}data: ${'x'.repeat(300_000)}`);
	t.equal(headerOf(transport.last, 'after'), '4');
	answer(transport.last);
	t.match(reply, whole);
});

for (const [name, text] of [
	['before the one that was asked for', piecesOf(3, 9)],
	['with the last one that the caller has', piecesOf(4, 9)],
	['with one that has no id', `data: piece 5 of the answer\n\n${piecesOf(6, 9)}`],
	['and comes out of order', `${pieceOf(5)}${pieceOf(7)}${pieceOf(6)}`],
] as const) {
	tap.t.test(`a run that begins ${name} does not continue the stream`, async (t) => {
		const {transport, reply} = start(route, {upstreams: 5});
		begin(transport.last, piecesOf(1, 4));
		breakOff(transport.last);
		begin(transport.last, text);
		t.equal(transport.sent.length, 3);
		t.equal(headerOf(transport.last, 'after'), '4');
		answer(transport.last);
		t.match(reply, whole);
	});
}

for (const [name, text] of [
	['its last event has no id', `${piecesOf(1, 4)}data: piece 5 of the answer\n\n`],
	['its last event has an empty id', `${piecesOf(1, 4)}id:\ndata: piece 5 of the answer\n\n`],
	['no event has an id', 'data: piece 1 of the answer\n\n'],
	['it has a spoilt piece', spoilData(3)(piecesOf(1, 4))],
	['it has a spoilt id', overwriteId(3)(piecesOf(1, 4))],
	['a piece comes twice', `${piecesOf(1, 4)}${pieceOf(4)}`],
] as const) {
	tap.t.test(`a stream that breaks off is not continued if ${name}`, async (t) => {
		const {transport, reply} = start(route, {upstreams: 5});
		begin(transport.last, text);
		breakOff(transport.last);
		t.equal(transport.sent.length, 1);
		t.match(reply, {text, ending: 'broken'});
	});
}

tap.t.test('a run beside a stalled one is dropped when the caller gets other text', async (t) => {
	const {clock, transport, reply} = start(route, {upstreams: 5});
	const first = transport.last;
	begin(first, piecesOf(1, 4));
	await clock.advance(1250);
	const successor = transport.last;
	t.not(successor, first);
	first.listener.onData(bytes(`${garbage}\n\n`));
	t.ok(successor.isCancelled);
	first.listener.onData(bytes(piecesOf(5, pieces)));
	first.listener.onEnd();
	t.match(reply, {text: `${piecesOf(1, 4)}${garbage}\n\n${piecesOf(5, pieces)}`});
});

tap.t.test('events without an id may end a stream that was continued', async (t) => {
	const tail = 'data: [DONE]\n\n';
	const {transport, reply} = start(route, {upstreams: 5});
	begin(transport.last, piecesOf(1, 4));
	breakOff(transport.last);
	begin(transport.last, piecesOf(5, pieces));
	transport.last.listener.onData(bytes(tail));
	transport.last.listener.onEnd();
	t.match(reply, {text: whole.text + tail, ending: 'complete'});
});

/** Sends a part of the rest, which may be spoilt; returns whether the run goes on. */
const sendSome = (sent: Sent, next: number, numbers: random.Random): number | undefined => {
	const last = Math.min(pieces, next + numbers.integer(0, 6));
	const draw = numbers.next();
	if (draw < 0.2) {
		const text = piecesOf(next, last);
		sent.listener.onData(bytes(text.slice(0, numbers.integer(0, text.length))));
		breakOff(sent);
		return undefined;
	}

	const isResumed = headerOf(sent, 'after') !== '';
	const spoil = draw < 0.4 ? numbers.pick([spoilData, spoilId, overwriteId])! : undefined;
	const spoiltId = numbers.integer(next, last);
	const text = piecesOf(next, last);
	sent.listener.onData(bytes(isResumed && spoil ? spoil(spoiltId)(text) : text));
	return last + 1;
};

tap.t.test('a stream is whole or visibly broken whatever its runs spoil', async (t) => {
	const problems: string[] = [];
	let completeCount = 0;
	for (let seed = 1; seed <= 500; seed++) {
		const numbers = random.createRandom(seed);
		const {clock, transport, reply} = start(route, {upstreams: 5});
		let seen = 0;
		while (transport.sent.length > seen) {
			seen = transport.sent.length;
			const sent = transport.last;
			let next: number | undefined = Number(headerOf(sent, 'after')) + 1;
			sent.listener.onHead(200, streamHeaders);
			while (next !== undefined && next <= pieces && !sent.isCancelled) {
				next = sendSome(sent, next, numbers);
			}

			if (next !== undefined && !sent.isCancelled) {
				sent.listener.onEnd();
			}

			await clock.advance(50);
		}

		completeCount += reply.ending === 'complete' ? 1 : 0;
		if (!whole.text.startsWith(reply.text)) {
			problems.push(`seed ${seed}: pieces are missing or come twice`);
		} else if (reply.ending === 'complete' && reply.text !== whole.text) {
			problems.push(`seed ${seed}: ends as complete without its end`);
		}
	}

	t.same(problems, []);
	t.ok(completeCount > 100, `${completeCount} streams were continued to their end`);
});
