// In a large failure domain, reports reached half of the daemons and messages grew with their number.
import * as tap from 'tap';
import * as relayElection from '../common/relay-election.js';
import * as fixtures from './fixtures.js';
import * as memoryFleet from './memory-fleet.js';

/** The size of today's largest deployment and of the one planned for. */
const sizes = [33, 68];
/** Reports are at most this old; the bound on the age of a report that a choice uses. */
const maxAgeMs = 1500;

tap.t.test('a prompt prefix reaches all daemons', async (t) => {
	const {clock, nodes} = memoryFleet.startLargeFleet(sizes[0]!);
	await clock.advance(2000);
	nodes.get('n-b-7')!.pendingPromptPrefixes.push({partId: 'topic-4', runner: 'u1'});
	await clock.advance(3000);
	const without = [...nodes]
		.filter(
			([name, {receivedMessages}]) =>
				name !== 'n-b-7' &&
				!receivedMessages.some(({promptPrefixes}) =>
					promptPrefixes.some(({partId}) => partId === 'topic-4'),
				),
		)
		.map(([name]) => name);
	t.same(without, []);
});

tap.t.test('all members stay known, and a relay is replaced when it is lost', async (t) => {
	for (const size of sizes) {
		const {clock, nodes} = memoryFleet.startLargeFleet(size);
		await clock.advance(6000);
		const fewest = Math.min(...[...nodes.values()].map(({fleet}) => fleet.alive().length));
		t.equal(fewest, nodes.size - 1, `${size} daemons in a failure domain`);
		const lost = relayElection
			.electRelays(
				's-b',
				[...nodes.values()].map(({state}) => state.record),
			)
			.slice(0, 2)
			.map(({name}) => name);
		for (const name of lost) {
			nodes.get(name)!.stop();
			nodes.delete(name);
		}

		await clock.advance(5000);
		const counts = new Set([...nodes.values()].map(({fleet}) => fleet.alive().length));
		t.same([...counts], [nodes.size - 1], 'the lost relays are noticed');
	}
});

tap.t.test('each daemon gets a report of its region at short intervals', async (t) => {
	const {clock, nodes} = memoryFleet.startLargeFleet(sizes[0]!);
	await clock.advance(3000);
	for (const node of nodes.values()) {
		node.receivedMessages.length = 0;
	}

	await clock.advance(maxAgeMs);
	for (const [name, {receivedMessages}] of nodes) {
		t.ok(
			receivedMessages.some(({loads}) => loads),
			name,
		);
	}
});

tap.t.test('the messages of a daemon do not grow with the number of daemons', async (t) => {
	const sentPerS = async (size: number) => {
		const {clock, network} = memoryFleet.startLargeFleet(size);
		await clock.advance(5000);
		network.sentByAddress.clear();
		await clock.advance(5000);
		const sent = [...network.sentByAddress.values()].sort((a, b) => a - b);
		return sent[Math.floor(sent.length / 2)]! / 5;
	};

	const [small, large] = [await sentPerS(8), await sentPerS(sizes[1]!)];
	t.ok(large < 1.1 * small + 1, `${large} and ${small} a second`);
});

tap.t.test('members with more of a processor are relays more often', (t) => {
	const members = Array.from({length: 40}, (_, index) =>
		fixtures.member(`n${index}`, {failureDomain: 'a', capacity: index < 20 ? 0.3 : 1.2}),
	);
	let large = 0;
	for (let domain = 0; domain < 50; domain++) {
		const failureDomain = `d${domain}`;
		const relays = relayElection.electRelays(
			failureDomain,
			members.map((member) => ({...member, failureDomain})),
		);
		t.equal(relays.length, relayElection.relayCount);
		large += relays.filter(({capacity}) => capacity > 1).length;
	}

	t.ok(large > 100, `${large} of 150`);
	t.end();
});

// A daemon that only watches the store does not have the reports of its failure domain.
tap.t.test('only a relay sends the sum of the region', async (t) => {
	const {clock, nodes} = memoryFleet.startLargeFleet(8);
	await clock.advance(2000);
	const members = [...nodes.values()].map(({state}) => state.record);
	const relays = new Set(relayElection.electRelays('n-a', members).map(({name}) => name));
	const [watcher, receiver] = members
		.filter(({name, failureDomain}) => failureDomain === 'n-a' && !relays.has(name))
		.map(({name}) => name);
	const {receivedMessages} = nodes.get(receiver!)!;
	receivedMessages.length = 0;
	nodes.get(watcher!)!.node.sendToDomain();
	t.match(receivedMessages, [{sender: {name: watcher}, isRelayed: true}]);
	t.equal(receivedMessages[0]?.loads, undefined);
});
