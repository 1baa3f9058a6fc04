// Guards against an adapter that hedges beyond the budget, or that sends bound work to another region.
import * as event from '@hawthornfront/base/common/event.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as tap from 'tap';
import type * as policy from '../common/policy.js';
import * as schedulerPolicy from '../common/scheduler-policy.js';

const createUpstream = (region: string): schema.Upstream => ({
	kind: 'upstream',
	name: `${region}-runner`,
	type: 'runner',
	region,
	failureDomain: `${region}-1`,
	address: '127.0.0.1:1',
	models: ['model'],
	slots: 1,
	checksFencing: false,
	resumesStreams: true,
	oldSetup: false,
});

const upstreams = [createUpstream('east'), createUpstream('west')];

type World = {released: string[]; budget: number; waitMs: Record<string, number>};

const createParts = (world: World, {region}: policy.PolicyContext): schedulerPolicy.Parts => {
	let own: readonly schema.Upstream[] = [];
	const assign = (): policy.PolicyAssignment => ({
		upstream: own[0]!,
		onDidPreempt: event.createEmitter<void>().event,
		noteFirstToken: () => undefined,
		noteTokens: () => undefined,
		release(result) {
			world.released.push(result);
		},
	});
	return {
		scheduler: {
			setUpstreams(list) {
				own = list;
			},
			report: () => undefined,
			acquire: async () => assign(),
			acquireNow: assign,
			expectedWaitMs: () => world.waitMs[region]!,
			dispose: () => undefined,
		},
		hedges: {
			noteRequest: () => undefined,
			noteLatency: () => undefined,
			delayMs: () => 10,
			tryHedge: () => world.budget-- > 0,
		},
		regions: {
			choose({isBound, localWaitMs, summaries}) {
				const best = summaries.find((item) => item.expectedWaitMs < localWaitMs);
				return best && !isBound ? {kind: 'remote', region: best.region} : {kind: 'local'};
			},
		},
	};
};

const createWorld = () => {
	const world: World = {released: [], budget: 0, waitMs: {east: 5000, west: 10}};
	const factory = schedulerPolicy.createSchedulerPolicyFactory('own', (context) =>
		createParts(world, context),
	);
	const policies = new Map<string, policy.Policy>();
	const clock = new manualClock.ManualClock();
	for (const region of ['east', 'west']) {
		const peers = (name: string) => [policies.get(name)!];
		const context = {clock, random: random.createRandom(1), region, upstreams, peers};
		policies.set(region, factory.create(context));
	}

	const load = {running: 0, waiting: 0, slots: 1, leaving: false, model: 'model', role: ''};
	policies.get('east')!.report('east-runner', {...load, observedAtMs: 0});
	return {world, east: policies.get('east')!};
};

const item: policy.PolicyItem = {
	workClass: 'short',
	team: 't',
	model: 'model',
	estimatedTokens: 1,
	promptTokens: 1,
	deadlineAtMs: 1000,
	canBePreempted: false,
	excluded: new Set<string>(),
	isFirst: true,
};

const {signal} = new AbortController();

const regionOf = async (own: policy.Policy, fields: Partial<policy.PolicyItem>) => {
	const assignment = await own.acquire({...item, ...fields}, signal);
	return assignment.upstream.region;
};

tap.t.test(
	'work crosses only when it is unbound and new, and the local wait is longer',
	async (t) => {
		const {world, east} = createWorld();
		t.equal(await regionOf(east, {}), 'west');
		t.equal(await regionOf(east, {homeRegion: 'east'}), 'east');
		t.equal(await regionOf(east, {isFirst: false}), 'east');
		world.waitMs = {east: 5, west: 10};
		t.equal(await regionOf(east, {}), 'east');
	},
);

tap.t.test('a hedge beyond the budget gives its place back', (t) => {
	const {world, east} = createWorld();
	t.equal(east.acquireHedge(item), undefined);
	t.same(world.released, ['cancelled']);
	world.budget = 1;
	t.equal(east.acquireHedge(item)?.upstream.region, 'east');
	t.end();
});
