// Guards against bound work that leaves its region, loops, flapping and overloaded links.
import * as tap from 'tap';
import * as fastCheck from 'fast-check';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as regionChooser from '../common/region-chooser.js';

const freeRegion: Record<string, number> = {saare: 0};

const createTestChooser = (settings: Record<string, unknown> = {}) => {
	const clock = new manualClock.ManualClock();
	const parsed = regionChooser.regionChooserSettingsSchema.parse({
		links: {saare: {delayMs: 50, bitsPerSecond: 100_000_000}, ida: {}},
		maxRemoteShare: 1,
		// Small thresholds for short tests; the rules apply to any thresholds.
		enterRatio: 1.3,
		enterMarginMs: 100,
		coldCacheMs: 0,
		...settings,
	});
	const chooser = regionChooser.createRegionChooser(clock, parsed);
	const chooseRegion = (
		fields: Partial<regionChooser.RegionQuestion> = {},
		waits: Record<string, number> = freeRegion,
	) =>
		chooser.choose({
			workClass: 'long',
			model: 'm',
			isBound: false,
			crossings: 0,
			localWaitMs: 1000,
			promptTokens: 0,
			transferBytes: 1000,
			summaries: Object.entries(waits).map(([region, expectedWaitMs]) => ({
				region,
				workClass: 'long',
				model: 'm',
				expectedWaitMs,
				receivedAtMs: clock.nowMs(),
			})),
			...fields,
		});
	return {clock, chooser, chooseRegion};
};

const isRemote = (choice: regionChooser.RegionChoice) => choice.kind === 'remote';

tap.t.test('a long local wait sends work to the region with the least cost', async (t) => {
	const {chooseRegion} = createTestChooser();
	t.same(chooseRegion({}, {saare: 300, ida: 100}), {kind: 'remote', region: 'ida'});
});

tap.t.test(
	'bound work and work that has already crossed regions stays local at any load',
	async (t) => {
		fastCheck.assert(
			fastCheck.property(
				fastCheck.double({min: 0, noNaN: true}),
				fastCheck.integer({min: 1, max: 3}),
				(localWaitMs, crossings) => {
					const {chooseRegion} = createTestChooser();
					return (
						!isRemote(chooseRegion({localWaitMs, isBound: true})) &&
						!isRemote(chooseRegion({localWaitMs, crossings}))
					);
				},
			),
			{seed: 2},
		);
		t.pass();
	},
);

tap.t.test('delay, transfer time and a cold cache add to the cost of a crossing', async (t) => {
	const wait = {localWaitMs: 260};
	t.ok(isRemote(createTestChooser().chooseRegion(wait)));
	t.notOk(isRemote(createTestChooser().chooseRegion({...wait, transferBytes: 1_000_000})));
	t.notOk(isRemote(createTestChooser().chooseRegion({...wait, promptTokens: 1000})));
	t.notOk(isRemote(createTestChooser({coldCacheMs: 50}).chooseRegion(wait)));
	t.notOk(isRemote(createTestChooser().chooseRegion(wait, {saare: 50})));
});

tap.t.test('hysteresis: crossing starts at a higher wait than it stops at', async (t) => {
	const {chooseRegion} = createTestChooser({waitPerSentItemMs: 0});
	const choices = [150, 240, 150, 120, 90, 150].map((localWaitMs) =>
		isRemote(chooseRegion({localWaitMs})),
	);
	t.same(choices, [false, true, true, true, false, false]);
});

tap.t.test('stale summaries, unknown links and missing upstreams are ignored', async (t) => {
	const {clock, chooseRegion} = createTestChooser();
	const stale = {region: 'saare', workClass: 'long', model: 'm', expectedWaitMs: 0} as const;
	const summaries = [{...stale, receivedAtMs: clock.nowMs()}];
	await clock.advance(10_001);
	t.notOk(isRemote(chooseRegion({summaries})));
	t.notOk(isRemote(chooseRegion({}, {nowhere: 0})));
	t.notOk(isRemote(chooseRegion({}, {saare: Number.POSITIVE_INFINITY})));
});

tap.t.test(
	'the remote share is capped, except for work that no local upstream serves',
	async (t) => {
		const {chooser, chooseRegion} = createTestChooser({maxRemoteShare: 0.2});
		for (let count = 0; count < 100; count++) {
			chooseRegion({localWaitMs: 100_000});
		}

		t.same(chooser.counts(), {unbound: 100, remote: 20});
		t.ok(isRemote(chooseRegion({localWaitMs: Number.POSITIVE_INFINITY})));
	},
);

tap.t.test('bytes per second on a link are capped', async (t) => {
	const {clock, chooseRegion} = createTestChooser();
	let sentBytes = 0;
	for (let count = 0; count < 300; count++) {
		sentBytes += isRemote(chooseRegion({localWaitMs: 1e9, transferBytes: 100_000})) ? 100_000 : 0;
		await clock.advance(10);
	}

	// 10% of 100 Mb/s for 3 s, and the burst of 1 s.
	t.ok(sentBytes <= 5_000_000 && sentBytes > 4_500_000, `${sentBytes}`);
});

tap.t.test('work sent since the last summary adds to the expected wait', async (t) => {
	const {chooseRegion} = createTestChooser({maxRemoteShare: 1, maxSavedCrossings: 100});
	let remote = 0;
	for (let count = 0; count < 100; count++) {
		remote += isRemote(chooseRegion({localWaitMs: 500})) ? 1 : 0;
	}

	t.ok(remote > 5 && remote < 25, `${remote} items sent before the remote region costs more`);
});
