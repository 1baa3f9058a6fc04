// What a daemon keeps of names that peers, datagrams of anybody, and the store choose.
import * as buffer from 'node:buffer';
import * as heapUse from '@hawthornfront/base/test/heap-use.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as msgpackr from 'msgpackr';
import * as tap from 'tap';
import * as budgetSharers from '../common/budget-sharers.js';
import * as fleetView from '../common/fleet-view.js';
import * as gossipMessage from '../common/gossip-message.js';
import * as loadTable from '../common/load-table.js';
import * as fixtures from './fixtures.js';

const emptyMessage = (
	sender: gossipMessage.MemberRecord,
	content: Partial<gossipMessage.GossipMessage> = {},
): gossipMessage.GossipMessage => ({
	sender,
	others: [],
	outlooks: [],
	promptPrefixes: [],
	isRelayed: false,
	heartbeats: [],
	partReports: [],
	rateLimits: [],
	warmth: [],
	wantedMembers: [],
	...content,
});

// Anybody can send datagrams with ever new names; with an age below zero they were never forgotten.
tap.t.test('ever new names of members: the fleet view keeps some, and forgets them', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	fleet.noteMember(fixtures.member('n2'), 0);
	for (let index = 0; index < 2 * fleetView.maxMembers; index++) {
		fleet.noteMember(fixtures.member(`odd${index}`), -1e12);
		fleet.noteStoreMember(fixtures.member(`stored${index}`));
	}

	t.equal(fleet.size, fleetView.maxMembers);
	await clock.advance(3000);
	fleet.noteMember(fixtures.member('n2', {isReady: false}), 0);
	t.equal(fleet.member('n2')?.isReady, false, 'known members are still updated');
	fleet.noteHeartbeats([{memberId: gossipMessage.memberId(fixtures.member('odd0')), ageMs: -1e12}]);
	await clock.advance(3000);
	fleet.sweep();
	t.equal(fleet.size, 2, 'the others are lost');
	await clock.advance(fleetView.memberLostAfterMs);
	fleet.sweep();
	t.equal(fleet.size, 0);
});

// Waits of regions and services that configurations do not name any more stayed for good.
tap.t.test('ever new regions and services: outdated waits are forgotten', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	const waits = {urgentMs: 1, otherMs: 2, ageMs: -1e12};
	for (let index = 0; index < fleetView.maxRegionWaits; index++) {
		fleet.noteRegionWaits(`r${index % 100}`, `s${index}`, waits);
	}

	t.equal(fleet.allRegionWaits().length, fleetView.maxRegionWaits);
	fleet.noteRegionWaits('r', 'further', waits);
	t.equal(fleet.regionWaits('r', 'further'), undefined);
	await clock.advance(5000);
	t.same(fleet.allRegionWaits(), []);
	fleet.sweep();
	fleet.noteRegionWaits('r', 'further', waits);
	t.equal(fleet.regionWaits('r', 'further')?.urgentMs, 1, 'there is room again');
});

tap.t.test('ever new names of members: the sharers of the retry budget have a limit', async (t) => {
	const clock = new manualClock.ManualClock();
	const sharers = budgetSharers.createBudgetSharers(
		() => clock.nowMs(),
		() => 1000,
	);
	sharers.noteStoreReached();
	for (let index = 0; index < 2 * budgetSharers.maxSharers; index++) {
		sharers.noteMember({kind: 'lost', member: {name: `n${index}`, failureDomain: 'north-a'}});
	}

	await clock.advance(3000);
	t.equal(sharers.count(), 1 + budgetSharers.maxSharers);
	await clock.advance(600_000);
	t.equal(sharers.count(), 1);
});

// A text of a datagram may be a reference into all texts of the datagram.
tap.t.test('a decoded message keeps no datagram', async (t) => {
	const packer = new msgpackr.Packr({bundleStrings: true});
	const datagramBytes = 40_000;
	const count = 500;
	const decode = (index: number) => {
		const sender = fixtures.member(`member-with-a-long-name-${index}`);
		const prefix = {partId: 'abcdefabcdefabcdef', runner: 'runner-with-a-long-name'};
		const plain = gossipMessage.encodeGossip(emptyMessage(sender, {promptPrefixes: [prefix]}));
		const tuple = msgpackr.unpack(plain) as unknown[];
		tuple[5] = [...(tuple[5] as unknown[]), [`${index}`.padEnd(datagramBytes, 'x'), 'u1']];
		return gossipMessage.decodeGossip(buffer.Buffer.from(packer.pack(tuple)));
	};

	t.equal(decode(0).promptPrefixes.length, 1, 'a part id that is too long is left out');
	const before = heapUse.usedBytes();
	const messages = Array.from({length: count}, (_, index) => decode(index));
	const kept = heapUse.usedBytes() - before;
	t.ok(kept < (count * datagramBytes) / 4, `${kept} bytes`);
	t.equal(messages.length, count);
});

tap.t.test('names that are too long are not taken from a message', async (t) => {
	const long = 'x'.repeat(gossipMessage.maxNameLength + 1);
	const report = {service: long, partId: 'p', crashes: [], quarantines: 0};
	const outlook = {region: long, service: 'model', urgentMs: 1, otherMs: 1, ageMs: 0};
	const sender = fixtures.member('n2');
	const decoded = gossipMessage.decodeGossip(
		gossipMessage.encodeGossip(
			emptyMessage(sender, {
				outlooks: [outlook, {...outlook, region: 'south', service: long}],
				promptPrefixes: [{partId: 'p', runner: long}],
				partReports: [report],
			}),
		),
	);
	t.same(decoded.sender, sender);
	t.same([decoded.outlooks, decoded.promptPrefixes, decoded.partReports], [[], [], []]);
	t.throws(() =>
		gossipMessage.decodeGossip(gossipMessage.encodeGossip(emptyMessage(fixtures.member(long)))),
	);
});

// The last report of each daemon was kept for good, also after scaling had replaced it.
tap.t.test('ever new daemons: the load table forgets their reports', async (t) => {
	const {clock, registry} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	const table = loadTable.createLoadTable(() => clock.nowMs(), fixtures.settings, registry);
	const share = {requests: 1, urgentReadTokens: 0, otherReadTokens: 0, memoryTokens: 0};
	for (let round = 0; round < 20; round++) {
		for (let index = 0; index < 50; index++) {
			table.notePeerLoads(`n${round}-${index}`, [
				{upstreamId: 'u1', ...share},
				{upstreamId: `odd${index}`, ...share},
			]);
		}

		await clock.advance(fixtures.settings.peerLoadMaxAgeMs + 1);
	}

	t.ok(table.reporters <= 50, `${table.reporters} reporters`);
	t.equal(table.size, 1);
});

// One datagram of a member with such an address ended each daemon that heard of it.
tap.t.test('a member with an impossible address is refused', async (t) => {
	for (const address of ['nonsense', '', ':90', 'n2:', 'n2:0', 'n2:65536', 'n2:1e3', 'n2:-1']) {
		for (const key of ['peerAddress', 'callerAddress']) {
			const record = fixtures.member('n2', {[key]: address});
			const other = emptyMessage(fixtures.member('n3'), {others: [{record, ageMs: 0}]});
			t.throws(() => gossipMessage.decodeGossip(gossipMessage.encodeGossip(other)), address);
			t.throws(() => gossipMessage.memberRecordSchema.parse(record), address);
		}
	}
});
