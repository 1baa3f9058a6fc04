// Streams cut at any byte keep whole events only.
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as eventCutter from '../common/event-cutter.js';

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
				const cutter = eventCutter.createEventCutter();
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
