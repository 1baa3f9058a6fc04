// Late work whose successor has a place and then refuses or fails.
import * as tap from 'tap';
import * as answerRun from './answer-run.js';
import * as callRun from './call-run.js';

// Guards against a call that is cancelled for a successor which does not answer it.
for (const status of [503, 500]) {
	tap.t.test(`a late call goes on when its successor answers ${status}`, async (t) => {
		const result = await callRun.run({scripts: {a: {delayMs: 700}, b: {status}}});
		t.equal(result.answer, '200 a');
	});
}

// Guards against an answer that is cancelled for a successor which refuses it.
tap.t.test('a late first token is waited for when the successor refuses', async (t) => {
	const result = await answerRun.run({
		names: ['a', 'b'],
		scripts: {a: [{delayMs: 1200}], b: [{refuses: true}]},
	});
	t.ok(result.isWhole);
});
