// Streams that are split or truncated at any byte.
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as eventSplitter from '../common/event-splitter.js';

const eventText = (id: number, text: string, newline: string) =>
	`id: ${id}${newline}data: ${text}${newline}${newline}`;

tap.t.test('the passed events and the rest make up the stream', async (t) => {
	const word = fc.stringMatching(/^[a-z]{1,12}$/u);
	fc.assert(
		fc.property(
			fc.array(word, {minLength: 1, maxLength: 8}),
			fc.constantFrom('\n', '\r\n'),
			fc.array(fc.nat(300), {maxLength: 10}),
			fc.nat(300),
			(words, newline, cuts, truncatedAt) => {
				const whole = words.map((text, index) => eventText(index + 1, text, newline));
				const stream = new TextEncoder().encode(whole.join('')).subarray(0, truncatedAt);
				const splitter = eventSplitter.createEventSplitter();
				let passed = '';
				const ids: Array<string | undefined> = [];
				let from = 0;
				for (const to of [...cuts.sort((a, b) => a - b), stream.length]) {
					const complete = splitter.push(stream.subarray(from, Math.max(from, to)));
					passed += complete ? new TextDecoder().decode(complete.bytes) : '';
					ids.push(...(complete?.ids ?? []));
					from = Math.max(from, Math.min(to, stream.length));
				}

				const rest = new TextDecoder().decode(splitter.rest());
				const events = Number(ids.at(-1) ?? 0);
				return (
					passed === whole.slice(0, events).join('') &&
					passed + rest === new TextDecoder().decode(stream) &&
					splitter.events === events
				);
			},
		),
		{seed: 11, numRuns: 500},
	);
	t.pass();
});

const kib = 1024;

/** Counts the bytes that typed arrays copy during `run`. */
const copiedBytesIn = (t: tap.Test, run: () => void): number => {
	const calls = t.capture(Uint8Array.prototype, 'set', Uint8Array.prototype.set);
	run();
	calls.restore();
	return calls().reduce((sum, {args}) => sum + args[0].length, 0);
};

// Guards against a cost that grows with the square of the bytes of an endless event.
for (const [name, pieceBytes] of [
	['large', 64 * kib],
	['small', kib],
] as const) {
	tap.t.test(`${name} pieces of a long event are not recopied for each piece`, async (t) => {
		const splitter = eventSplitter.createEventSplitter();
		const pieces = 256;
		const piece = new TextEncoder().encode('x'.repeat(pieceBytes));
		const copiedBytes = copiedBytesIn(t, () => {
			for (let index = 0; index < pieces; index++) {
				splitter.push(piece);
			}
		});
		const totalBytes = pieces * pieceBytes;
		t.ok(copiedBytes <= 4 * totalBytes, `${copiedBytes} bytes copied of ${totalBytes}`);
	});
}

// Guards against an unbounded buffer for bytes that hold no event.
tap.t.test('bytes without an event are overlong, valid events are not', async (t) => {
	const event = new TextEncoder().encode(eventText(1, 'x'.repeat(300), '\n'));
	const validStream = eventSplitter.createEventSplitter();
	for (let bytes = 0; bytes < 4 * eventSplitter.maxEventBytes; bytes += event.length) {
		validStream.push(event);
	}

	t.notOk(validStream.isOverlong);
	for (const text of ['x', '\n', '\r\n', ': a comment\n\n', 'no field\n\n']) {
		const splitter = eventSplitter.createEventSplitter();
		splitter.push(event);
		const piece = new TextEncoder().encode(text.repeat(Math.ceil((4 * kib) / text.length)));
		let bytes = 0;
		while (!splitter.isOverlong && bytes <= 2 * eventSplitter.maxEventBytes) {
			splitter.push(piece);
			bytes += piece.length;
		}

		t.ok(splitter.isOverlong, JSON.stringify(text));
		t.equal(splitter.events, 1);
		t.ok(bytes > eventSplitter.maxEventBytes, 'not before the limit');
		t.ok(splitter.rest().length <= eventSplitter.maxEventBytes + piece.length);
	}
});

tap.t.test('an event is found wherever it is split', async (t) => {
	for (const newline of ['\n', '\r\n']) {
		const bytes = new TextEncoder().encode(eventText(1, 'a', newline));
		for (let splitAt = 0; splitAt <= bytes.length; splitAt++) {
			const splitter = eventSplitter.createEventSplitter();
			for (const piece of [bytes.subarray(0, splitAt), bytes.subarray(splitAt)]) {
				splitter.push(piece);
			}

			t.equal(splitter.events, 1);
			t.equal(splitter.rest().length, 0);
		}
	}
});
