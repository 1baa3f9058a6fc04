// Guards against calls that are cancelled although no other upstream can answer them.
import * as tap from 'tap';
import * as serviceCallHarness from './service-call-harness.js';

const {timeoutMs, run} = serviceCallHarness;

for (const [name, options] of Object.entries<Partial<serviceCallHarness.Options>>({
	'without another upstream': {names: ['a']},
	'when the retry budget is spent': {mayRetry: false},
	'when it is not idempotent': {isIdempotent: false},
	'while no slot is free': {slotDelayMs: 2000},
	'that answers before a slot is free': {slotDelayMs: 300},
})) {
	tap.t.test(`late call ${name} continues`, async (t) => {
		const result = await run({scripts: {a: {delayMs: 700}}, ...options});
		t.equal(result.answer, '200 a');
		t.same(result.calls, ['a']);
		t.equal(result.releases[0], result.releases.length > 1 ? 'b cancelled' : 'a answered');
		t.equal(result.pendingTimers, 0);
	});
}

tap.t.test('late call is also sent to another upstream that has a slot', async (t) => {
	const result = await run({scripts: {a: {delayMs: 1e8}}});
	t.equal(result.answer, '200 b');
	t.same(result.calls, ['a', 'b']);
	t.same(result.releases, ['b answered', 'a failed'], 'a is cancelled when b has answered');
	t.equal(result.pendingTimers, 0);
});

tap.t.test('call that hangs everywhere ends at its deadline', async (t) => {
	const hangs = {delayMs: 1e8};
	const result = await run({scripts: {a: hangs, b: hangs}});
	t.equal(result.answer, 'upstream-failed');
	t.same(result.calls, ['a', 'b']);
	t.same(result.releases, ['a failed', 'b failed']);
	t.equal(result.pendingTimers, 0);
});

// Guards against a running call that is cancelled in favour of a hedge with an error status.
for (const status of [429, 500, 503]) {
	tap.t.test(`hedge answered with ${status} does not end the first attempt`, async (t) => {
		const result = await run({
			hedgeDelayMs: 50,
			mayRetry: false,
			scripts: {a: {delayMs: 200}, b: {status}},
		});
		t.equal(result.answer, '200 a');
		t.same(result.calls, ['a', 'b']);
		t.ok(result.releases.includes('a answered'));
	});
}

tap.t.test(
	'error status 500 of one attempt is passed on when the other attempt fails with 503',
	async (t) => {
		const result = await run({
			hedgeDelayMs: 50,
			mayRetry: false,
			scripts: {a: {delayMs: 200, status: 503}, b: {status: 500}},
		});
		t.equal(result.answer, '500 b');
	},
);

tap.t.test('faster hedge wins and cancels the first attempt', async (t) => {
	const result = await run({hedgeDelayMs: 50, scripts: {a: {delayMs: 400}}});
	t.equal(result.answer, '200 b');
	t.same(result.releases, ['b answered', 'a cancelled']);
});
