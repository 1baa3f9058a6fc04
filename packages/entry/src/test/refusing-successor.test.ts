// Late requests whose successor holds a slot and then refuses or fails.
import * as tap from 'tap';
import * as modelAnswerHarness from './model-answer-harness.js';
import * as serviceCallHarness from './service-call-harness.js';

// Guards against a call that is cancelled in favour of a successor with an error status.
for (const status of [503, 500]) {
	tap.t.test(`late call continues when its successor answers ${status}`, async (t) => {
		const result = await serviceCallHarness.run({scripts: {a: {delayMs: 700}, b: {status}}});
		t.equal(result.answer, '200 a');
	});
}

// Guards against an answer that is cancelled in favour of a successor that refuses the request.
tap.t.test('late first token is awaited when the successor refuses', async (t) => {
	const result = await modelAnswerHarness.run({
		names: ['a', 'b'],
		scripts: {a: [{delayMs: 1200}], b: [{refuses: true}]},
	});
	t.ok(result.isComplete);
});
