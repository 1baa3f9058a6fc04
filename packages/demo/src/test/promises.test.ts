// Guards what users rely on beside the fault matrix: shares, limits, leaving, isolation and bound data.
import * as tap from 'tap';
import * as records from './world/records.js';
import * as session from './world/session.js';
import * as stepUpstream from './world/step-upstream.js';
import * as worlds from './world/world.js';

const seed = 5;
const home = '10.0.0.1:80';
const away = '10.0.0.3:80';
const oldSetup = '10.1.0.9:1';

const ask = async (system: worlds.World, request: session.Request): Promise<session.Verdict> =>
	session.settle(system, session.send(system, request));

const executionsAt = (system: worlds.World, address: string): string[] =>
	system.upstreams.get(address)!.executions;

tap.t.test('the old setup carries its share, and its request does not come back', async (t) => {
	const system = await worlds.startWorld(seed);
	const count = 60;
	for (let number = 0; number < count; number++) {
		const verdict = await ask(system, session.chat(home, 'ask-shared', `question ${number}`));
		t.equal(verdict.kind, 'whole');
	}

	const carried = executionsAt(system, oldSetup).length;
	t.ok(carried > count * 0.3 && carried < count * 0.7, `${carried} of ${count}`);
	const request = session.chat(home, 'ask-shared', 'came back');
	const headers = {...request.headers, 'cdn-loop': 'old-setup, hawthornfront-test'};
	const back = await ask(system, {...request, headers});
	t.match(back, {kind: 'problem', status: 508, problem: {outcome: 'not-run'}});
	t.equal(session.executions(system, 'came back'), 0);
	system.close();
});

tap.t.test('the old setup gets no work of entries without a share', async (t) => {
	const system = await worlds.startWorld(seed);
	for (let number = 0; number < 20; number++) {
		await ask(system, session.chat(home, 'ask', `question ${number}`));
	}

	t.same(executionsAt(system, oldSetup), []);
	system.close();
});

tap.t.test('a team over its limit is refused as not run with a time to wait', async (t) => {
	const system = await worlds.startWorld(seed);
	const headers = {authorization: `Bearer ${records.smallTeam}.secret`};
	const refused: session.Verdict[] = [];
	for (let number = 0; number < 12; number++) {
		const request = session.order(home, 'look', `look ${number}`);
		const verdict = await ask(system, {...request, headers});
		if (verdict.kind === 'problem') {
			refused.push(verdict);
			t.equal(session.executions(system, `look ${number}`), 0);
		}
	}

	t.ok(refused.length > 0);
	t.match(refused[0], {status: 429, problem: {outcome: 'not-run'}});
	const other = await ask(system, session.order(home, 'look', 'other team'));
	t.equal(other.kind, 'whole', 'another team is not affected');
	system.close();
});

for (const [name, mark] of [
	[
		'the VM list',
		(system: worlds.World) => {
			system.vmList.vms = [
				{
					name: 'home-r1',
					role: 'upstream',
					region: 'home',
					failureDomain: 'home-1',
					address: '10.1.0.1:1',
					state: 'leaving',
				},
			];
		},
	],
	[
		'its own report',
		(system: worlds.World) => {
			system.upstreams.get('10.1.0.1:1')!.isLeaving = true;
		},
	],
] as const) {
	tap.t.test(`an upstream that leaves by ${name} gets no new work after 3 s`, async (t) => {
		const system = await worlds.startWorld(seed);
		const leaving = system.upstreams.get('10.1.0.1:1')!;
		const run = async (count: number) => {
			for (let number = 0; number < count; number++) {
				const {address} = system.entryVms[number % 2]!;
				const verdict = await ask(system, session.chat(address, 'ask', `q ${number}`));
				t.equal(verdict.kind, 'whole');
			}
		};

		await run(20);
		t.ok(leaving.receivedAtMs.length > 0, 'it had work before');
		mark(system);
		await system.clock.advance(3000);
		const boundMs = system.clock.nowMs();
		await run(40);
		t.equal(leaving.receivedAtMs.filter((atMs) => atMs > boundMs).length, 0);
		system.close();
	});
}

tap.t.test('an isolated region serves its own callers, also without the store', async (t) => {
	const system = await worlds.startWorld(seed);
	system.setCut('home', 'away', true);
	system.setCut('away', 'home', true);
	system.store.mode = 'down';
	await system.clock.advance(30_000);
	for (const address of [home, away]) {
		const isFromAway = address === away;
		const question = session.chat(address, 'ask', 'still there');
		const answer = await ask(system, {...question, isFromAway});
		t.same(answer, {kind: 'whole', status: 200, text: stepUpstream.wholeText('still there')});
		const key = await session.takeKey(system, address, isFromAway);
		const request = session.order(address, 'order', `tank ${address}`, key);
		const order = await ask(system, {...request, isFromAway});
		t.equal(order.kind, 'whole');
		t.equal(session.executions(system, `tank ${address}`), 1);
	}

	system.close();
});

tap.t.test('bound data at the wrong region is not read, run or kept', async (t) => {
	const system = await worlds.startWorld(seed);
	let isRead = false;
	const request = session.order(home, 'bound-order', 'secret of the island');
	system.onBodyRead = (address) => {
		isRead ||= address === home;
	};

	const refused = await ask(system, request);
	t.match(refused, {kind: 'problem', status: 421, problem: {outcome: 'not-run'}});
	t.notOk(isRead, 'the body was not read');
	t.equal(session.executions(system, 'secret of the island'), 0);
	for (const entryVm of system.entryVms) {
		t.notMatch(JSON.stringify(entryVm.daemon.dump()), 'secret of the island');
	}

	const key = await session.takeKey(system, away);
	const served = await ask(system, session.order(away, 'bound-order', 'secret of the island', key));
	t.equal(served.kind, 'whole');
	t.same(executionsAt(system, '10.1.1.3:1'), ['secret of the island']);
	system.close();
});
