/** Fixtures of the scheduler tests. */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as scheduler from '../common/scheduler.js';
import * as schedulerSettings from '../common/scheduler-settings.js';
import type * as types from '../common/types.js';

export const createUpstream = (
	name: string,
	fields: Partial<schema.Upstream> = {},
): schema.Upstream =>
	schema.upstreamSchema.parse({
		kind: 'upstream',
		name,
		type: 'runner',
		region: 'harju',
		failureDomain: 'harju-1',
		address: '127.0.0.1:1',
		models: ['m'],
		slots: 1,
		resumesStreams: true,
		...fields,
	});

export const createItem = (fields: Partial<types.WorkItem> = {}): types.WorkItem => ({
	workClass: 'short',
	team: 'crew',
	model: 'm',
	estimatedTokens: 100,
	deadlineAtMs: 1_000_000,
	canBePreempted: true,
	excluded: new Set(),
	...fields,
});

export const createLongItem = (fields: Partial<types.WorkItem> = {}): types.WorkItem =>
	createItem({workClass: 'long', estimatedTokens: 5000, ...fields});

export const createReport = (fields: Partial<types.LoadReport> = {}): types.LoadReport => ({
	running: 0,
	waiting: 0,
	slots: 0,
	leaving: false,
	model: 'm',
	role: 'serve',
	observedAtMs: 0,
	...fields,
});

/** A signal that is never aborted. */
export const neverAborted: AbortSignal = new AbortController().signal;

export const createTestScheduler = (
	settings: Record<string, unknown> = {},
	seed = 1,
): {clock: manualClock.ManualClock; testScheduler: types.Scheduler} => {
	const clock = new manualClock.ManualClock();
	const testScheduler = scheduler.createScheduler({
		clock,
		random: random.createRandom(seed),
		settings: schedulerSettings.schedulerSettingsSchema.parse(settings),
	});
	return {clock, testScheduler};
};

/** Collects assignments in the order in which the scheduler makes them. */
export const collectAssignments = (testScheduler: types.Scheduler) => {
	const assignments: Array<{item: types.WorkItem; assignment: types.Assignment}> = [];
	return {
		assignments,
		async add(item: types.WorkItem): Promise<void> {
			const assignment = await testScheduler.acquire(item, neverAborted);
			assignments.push({item, assignment});
		},
	};
};
