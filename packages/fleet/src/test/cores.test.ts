// Guards the order of claims, the rule that revisions never decrease, and the stable choice of roles.
import * as fc from 'fast-check';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import type * as catalogue from '@hawthornfront/catalogue/common/schema.js';
import * as partition from '@hawthornfront/catalogue/node/partition.js';
import * as claim from '@hawthornfront/protocol/common/claim.js';
import * as tap from 'tap';
import * as configuration from '../common/configuration.js';
import * as membership from '../common/membership.js';
import * as rendezvous from '../common/rendezvous.js';
import * as clusters from './fleet-cluster.js';

const seed = 20_261_204;
const settings = {suspicionMs: 5000, forgetMs: 60_000};
const names = ['a', 'b', 'c'];

const claimOf = (
	name: string,
	incarnation: number,
	sequence: number,
	state: claim.MemberState,
): claim.Claim => ({
	member: {
		name,
		incarnation,
		region: 'r',
		failureDomain: 'd',
		httpAddress: `${name}:1`,
		datagramAddress: `${name}:1`,
	},
	sequence,
	state,
	isWatching: false,
});

const claims = fc.array(
	fc
		.tuple(
			fc.constantFrom(...names),
			fc.integer({min: 1, max: 3}),
			fc.integer({min: 1, max: 4}),
			fc.constantFrom(...claim.memberStates),
		)
		.map((tuple) => claimOf(...tuple)),
	{maxLength: 30},
);

const viewAfter = (items: claim.Claim[]) => {
	const view = membership.createMembership(claimOf('self', 1, 1, 'alive').member, settings);
	for (const name of names) {
		view.apply(claimOf(name, 1, 0, 'alive'), 0);
	}

	for (const item of items) {
		view.apply(item, 0);
	}

	const rest = view.claims().filter(({member}) => member.name !== 'self');
	const texts = rest.map(
		({member, sequence, state}) => `${member.name}${member.incarnation}.${sequence}${state}`,
	);
	return `${texts.sort().join(' ')} ${view.digest()}`;
};

tap.t.test('a view does not depend on order or repetition of claims', async (t) => {
	fc.assert(
		fc.property(claims, fc.integer(), (items, turn) => {
			const cut = items.length === 0 ? 0 : Math.abs(turn) % items.length;
			const rotated = [...items.slice(cut), ...items.slice(0, cut)];
			const repeated = [...items.toReversed(), ...rotated];
			return viewAfter(items) === viewAfter(rotated) && viewAfter(items) === viewAfter(repeated);
		}),
		{seed, numRuns: 500},
	);
	t.pass();
});

tap.t.test('a member refutes a claim of any incarnation that it is not alive', async (t) => {
	fc.assert(
		fc.property(claims, (items) => {
			const view = membership.createMembership(claimOf('a', 2, 1, 'alive').member, settings);
			for (const item of items.filter(({member}) => member.name === 'a')) {
				view.apply(item, 0);
				const {member, sequence, state} = view.self();
				const self = {incarnation: member.incarnation, sequence, state};
				const suspicion = {...item, incarnation: item.member.incarnation};
				if (item.state !== 'alive' && claim.compareClaims(self, suspicion) <= 0) {
					return false;
				}
			}

			return true;
		}),
		{seed, numRuns: 500},
	);
	t.pass();
});

tap.t.test('offers in any order never decrease the revision', async (t) => {
	const offers = fc.array(
		fc.record({
			revision: fc.integer({min: 1, max: 20}),
			delayMs: fc.integer({min: 0, max: 50}),
			startMs: fc.integer({min: 0, max: 50}),
			fails: fc.constantFrom(false, false, false, true),
		}),
		{minLength: 1, maxLength: 10},
	);
	await fc.assert(
		fc.asyncProperty(offers, async (list) => {
			const clock = new manualClock.ManualClock();
			const subject = configuration.createConfiguration(clock, partition.digestOf);
			const seen: number[] = [];
			subject.onDidChangeSnapshot((snapshot) => {
				seen.push(snapshot.revision);
			});
			for (const {revision, delayMs, startMs, fails} of list) {
				const [part] = partition.splitIntoParts([clusters.team(`team-${revision}`)]);
				const root: catalogue.Root = {
					parts: [{partition: part!.partition, digest: part!.digest}],
					operationId: 'op',
					recentOperationIds: [],
					author: 'test',
					acceptedAt: 'now',
				};
				const offer = {
					revision,
					root: JSON.stringify(root),
					source: 'test',
					async readPart() {
						await clock.sleep(delayMs);
						return fails ? 'damaged' : part!.text;
					},
				};
				const apply = async () => {
					try {
						await subject.apply(offer);
					} catch {
						// A part with a wrong digest counts as a failed read.
					}
				};

				clock.setTimer(() => {
					void apply();
				}, startMs);
			}

			await clock.advance(1000);
			const expected = Math.max(0, ...list.filter(({fails}) => !fails).map((o) => o.revision));
			const isRising = seen.every((revision, index) => index === 0 || revision > seen[index - 1]!);
			return isRising && subject.snapshot().revision === expected;
		}),
		{seed, numRuns: 200},
	);
	t.pass();
});

tap.t.test('removing a name keeps the order of the other names', async (t) => {
	const all = Array.from({length: 41}, (_, index) => `entry-${index}`);
	for (let key = 0; key < 50; key++) {
		const before = rendezvous.orderFor(`key-${key}`, all);
		const after = rendezvous.orderFor(
			`key-${key}`,
			all.filter((name) => name !== 'entry-7'),
		);
		t.same(
			after,
			before.filter((name) => name !== 'entry-7'),
		);
	}
});
