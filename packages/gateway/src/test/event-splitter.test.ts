// Streams cut at any byte keep whole events only.
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as eventSplitter from '../common/event-splitter.js';

const eventText = (id: number, text: string, newline: string) =>
	`id: ${id}${newline}data: ${text}${newline}${newline}`;

tap.t.test('what is passed on and the rest are the stream', async (t) => {
	const word = fc.stringMatching(/^[a-z]{1,12}$/u);
	fc.assert(
		fc.property(
			fc.array(word, {minLength: 1, maxLength: 8}),
			fc.constantFrom('\n', '\r\n'),
			fc.array(fc.nat(300), {maxLength: 10}),
			fc.nat(300),
			(words, newline, cuts, brokenAt) => {
				const whole = words.map((text, index) => eventText(index + 1, text, newline));
				const stream = new TextEncoder().encode(whole.join('')).subarray(0, brokenAt);
				const cutter = eventSplitter.createEventSplitter();
				let passed = '';
				let from = 0;
				for (const to of [...cuts.sort((a, b) => a - b), stream.length]) {
					const complete = cutter.push(stream.subarray(from, Math.max(from, to)));
					passed += complete ? new TextDecoder().decode(complete) : '';
					from = Math.max(from, Math.min(to, stream.length));
				}

				const rest = new TextDecoder().decode(cutter.rest());
				const events = Number(cutter.lastEventId ?? 0);
				return (
					passed === whole.slice(0, events).join('') &&
					passed + rest === new TextDecoder().decode(stream) &&
					cutter.events === events
				);
			},
		),
		{seed: 11, numRuns: 500},
	);
	t.pass();
});

const kib = 1024;

/** Bytes that typed arrays copy while `run` runs. */
const copiedBytesIn = (t: tap.Test, run: () => void): number => {
	const calls = t.capture(Uint8Array.prototype, 'set', Uint8Array.prototype.set);
	run();
	calls.restore();
	return calls().reduce((sum, {args}) => sum + args[0].length, 0);
};

// Time that grows with the square of the bytes of an event without end.
for (const [name, pieceBytes] of [
	['large', 64 * kib],
	['small', kib],
] as const) {
	tap.t.test(`${name} pieces of a long event are not copied at each piece`, async (t) => {
		const cutter = eventSplitter.createEventSplitter();
		const pieces = 256;
		const piece = new TextEncoder().encode('x'.repeat(pieceBytes));
		const copiedBytes = copiedBytesIn(t, () => {
			for (let index = 0; index < pieces; index++) {
				cutter.push(piece);
			}
		});
		const totalBytes = pieces * pieceBytes;
		t.ok(copiedBytes <= 4 * totalBytes, `${copiedBytes} bytes copied of ${totalBytes}`);
	});
}

// Bytes that hold no event were kept without a limit.
tap.t.test('bytes without an event are overlong, events are not', async (t) => {
	const event = new TextEncoder().encode(eventText(1, 'x'.repeat(300), '\n'));
	const proper = eventSplitter.createEventSplitter();
	for (let bytes = 0; bytes < 4 * eventSplitter.maxEventBytes; bytes += event.length) {
		proper.push(event);
	}

	t.notOk(proper.isOverlong);
	for (const text of ['x', '\n', '\r\n', ': a comment\n\n', 'no field\n\n']) {
		const cutter = eventSplitter.createEventSplitter();
		cutter.push(event);
		const piece = new TextEncoder().encode(text.repeat(Math.ceil((4 * kib) / text.length)));
		let bytes = 0;
		while (!cutter.isOverlong && bytes <= 2 * eventSplitter.maxEventBytes) {
			cutter.push(piece);
			bytes += piece.length;
		}

		t.ok(cutter.isOverlong, JSON.stringify(text));
		t.equal(cutter.events, 1);
		t.ok(bytes > eventSplitter.maxEventBytes, 'not before the limit');
		t.ok(cutter.rest().length <= eventSplitter.maxEventBytes + piece.length);
	}
});

tap.t.test('an event is found however its end is cut', async (t) => {
	for (const newline of ['\n', '\r\n']) {
		const bytes = new TextEncoder().encode(eventText(1, 'a', newline));
		for (let cut = 0; cut <= bytes.length; cut++) {
			const cutter = eventSplitter.createEventSplitter();
			for (const piece of [bytes.subarray(0, cut), bytes.subarray(cut)]) {
				cutter.push(piece);
			}

			t.equal(cutter.events, 1);
			t.equal(cutter.rest().length, 0);
		}
	}
});
