// Guards against teams that move between entry VMs and against sending teams to leaving VMs.
import * as tap from 'tap';
import * as fastCheck from 'fast-check';
import * as entryVmOrder from '../common/entry-vm-order.js';

const origin = {region: 'r1', failureDomain: 'r1-a'};

const createMembers = (perDomain: number): entryVmOrder.EntryVm[] =>
	[
		['r1', 'r1-a'],
		['r1', 'r1-b'],
		['r2', 'r2-a'],
	].flatMap(([region, failureDomain]) =>
		Array.from({length: perDomain}, (_, index) => ({
			name: `${failureDomain}-${index}`,
			region: region!,
			failureDomain: failureDomain!,
			isSuspect: false,
			isLeaving: false,
		})),
	);

const namesOf = (team: string, members: readonly entryVmOrder.EntryVm[], count = 2) =>
	entryVmOrder.orderEntryVms(team, members, count, origin).map(({name}) => name);

tap.t.test(
	'the local failure domain comes first, then the local region, then other regions',
	async (t) => {
		const ordered = entryVmOrder.orderEntryVms('crew', createMembers(8), 2, origin);
		t.same(
			ordered.map(({failureDomain}) => failureDomain),
			['r1-a', 'r1-a', 'r1-b', 'r1-b', 'r2-a', 'r2-a'],
		);
	},
);

tap.t.test(
	'the order does not depend on the order of members, and a leaving VM does not displace others',
	async (t) => {
		fastCheck.assert(
			fastCheck.property(fastCheck.string(), fastCheck.nat(23), (team, index) => {
				const members = createMembers(8);
				const before = namesOf(team, members);
				const leavingName = members[index]!.name;
				const after = namesOf(
					team,
					members
						.toReversed()
						.map((member) => ({...member, isLeaving: member.name === leavingName})),
				);
				const remaining = before.filter((name) => name !== leavingName);
				return (
					!after.includes(leavingName) &&
					after.length === 6 &&
					remaining.every((name) => after.includes(name))
				);
			}),
			{seed: 4},
		);
		t.pass();
	},
);

tap.t.test('a suspect VM moves to the end and the next VM takes its place', async (t) => {
	const members = createMembers(8);
	const [first, second] = namesOf('crew', members);
	const after = namesOf(
		'crew',
		members.map((member) => ({...member, isSuspect: member.name === first})),
	);
	t.equal(after[0], second);
	t.equal(after.at(-1), first);
	t.equal(after.length, 7);
});

tap.t.test('teams spread over VMs in proportion to their weights', async (t) => {
	const members = createMembers(4).map((member) => ({
		...member,
		weight: member.name === 'r1-a-0' ? 3 : 1,
	}));
	const counts = new Map<string, number>();
	for (let team = 0; team < 6000; team++) {
		const [first] = namesOf(`team-${team}`, members, 1);
		counts.set(first!, (counts.get(first!) ?? 0) + 1);
	}

	t.ok(Math.abs(counts.get('r1-a-0')! - 3000) < 150);
	t.ok(Math.abs(counts.get('r1-a-1')! - 1000) < 150);
});
