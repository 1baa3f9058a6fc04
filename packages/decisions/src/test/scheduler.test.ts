// Guards against lost slots, work on leaving upstreams and items that wait without an end.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as scheduler from '../common/scheduler.js';
import * as schedulerSettings from '../common/scheduler-settings.js';
import type * as types from '../common/types.js';

const upstream = (name: string, slots = 1) =>
	schema.upstreamSchema.parse({
		kind: 'upstream',
		name,
		type: 'runner',
		region: 'harju',
		failureDomain: 'harju-1',
		address: '127.0.0.1:1',
		models: ['m'],
		slots,
	});

const item = (fields: Partial<types.WorkItem> = {}): types.WorkItem => ({
	workClass: 'short',
	team: 'crew',
	model: 'm',
	estimatedTokens: 100,
	deadlineAtMs: 10_000,
	canBePreempted: false,
	excluded: new Set(),
	...fields,
});

const never = new AbortController().signal;

const create = () => {
	const clock = new manualClock.ManualClock();
	const settings = schedulerSettings.schedulerSettingsSchema.parse({});
	return {
		clock,
		subject: scheduler.createScheduler({clock, random: random.createRandom(1), settings}),
	};
};

tap.t.test('an item waits for a slot and gets it on release', async (t) => {
	const {subject} = create();
	subject.setUpstreams([upstream('a')]);
	const first = await subject.acquire(item(), never);
	const second = subject.acquire(item(), never);
	t.equal(subject.acquireNow(item()), undefined);
	first.release('answered');
	first.release('answered');
	const assignment = await second;
	t.equal(assignment.upstream.name, 'a');
	t.equal(subject.inFlight(), 1);
});

tap.t.test('deadline and abort end the wait', async (t) => {
	const {clock, subject} = create();
	subject.setUpstreams([upstream('a')]);
	await subject.acquire(item(), never);
	const expired = subject.acquire(item({deadlineAtMs: 50}), never);
	const controller = new AbortController();
	const aborted = subject.acquire(item(), controller.signal);
	controller.abort();
	await t.rejects(aborted, /caller-gone at step queued/u);
	const rejected = t.rejects(expired, /deadline-exceeded at step queued/u);
	await clock.advance(50);
	await rejected;
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('a leaving upstream gets nothing new', async (t) => {
	const {subject} = create();
	subject.setUpstreams([upstream('a'), upstream('b')]);
	subject.setLeaving(new Set(['a']));
	const assignment = await subject.acquire(item(), never);
	t.equal(assignment.upstream.name, 'b');
	t.equal(subject.acquireNow(item()), undefined);
});
