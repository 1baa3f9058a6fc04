// Prompts with hundreds or thousands of parts, one of which crashes upstreams, on a manual clock.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as gossipMessage from '../common/gossip-message.js';
import * as promptQuarantine from '../common/prompt-quarantine.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const service = 'model';
const gossipEveryMs = 250;
/** Largest message that reports of parts may add to, with a margin for the rest of it. */
const maxMessageBytes = 4000;
const answering = {sentBeforeMs: 90, wasAnswering: true};

/** Parts as a session lists them; the harmful one takes a position among them. */
const promptOf = (session: string, count: number, harmfulAt?: number): string[] =>
	Array.from({length: count}, (_, index) =>
		index === harmfulAt ? 'harmful' : `${session}${index.toString(16)}`,
	);

let requests = 0;
const requestOf = (ids: readonly string[]): promptQuarantine.JudgedRequest => {
	requests++;
	const digest = `digest-${requests}`;
	return {partIds: () => ids, digest: () => digest, isStream: true};
};

/** Daemons that tell each other what they know in datagrams. */
const startDaemons = (count: number) => {
	const clock = new manualClock.ManualClock();
	const daemons = Array.from({length: count}, () =>
		promptQuarantine.createPromptQuarantine(clock, () => fixtures.quarantineSettings),
	);
	let largestBytes = 0;
	clock.setPeriodicTimer(() => {
		for (const [index, from] of daemons.entries()) {
			const bytes = gossipMessage.encodeGossip({
				sender: fixtures.member(`n${index}`),
				others: [],
				outlooks: [],
				promptPrefixes: [],
				isRelayed: false,
				heartbeats: [],
				partReports: from.takeReports(),
				rateLimits: [],
				warmth: [],
				wantedMembers: [],
			});
			largestBytes = Math.max(largestBytes, bytes.length);
			const {partReports} = gossipMessage.decodeGossip(bytes);
			for (const to of daemons.filter((other) => other !== from)) {
				to.merge(partReports, `n${index}`);
			}
		}
	}, gossipEveryMs);
	return {clock, daemons, largestBytes: () => largestBytes};
};

for (const [daemonCount, partCount, harmfulAt] of [
	[2, 70, 66],
	[2, 200, 150],
	[7, 600, 64],
	[7, 2000, 1998],
	[4, 4000, 3000],
] as const) {
	const name = `${daemonCount} daemons, part ${harmfulAt} of ${partCount}`;
	// Guards against a harmful part that is never refused because it stands behind many others.
	tap.t.test(`a harmful part among many is refused: ${name}`, async (t) => {
		const {clock, daemons, largestBytes} = startDaemons(daemonCount);
		let crashes = 0;
		for (let round = 0; round < 10; round++) {
			const daemon = daemons[round % daemonCount]!;
			const session = String.fromCodePoint(97 + (round % 3));
			const ids = promptOf(session, partCount, harmfulAt);
			if (!daemon.quarantinedPart(service, requestOf(ids))) {
				crashes++;
				daemon.noteCrash(service, crashes, [{request: requestOf(ids), ...answering}]);
			}

			await clock.advance(2000);
			// A sound request of the session at another daemon.
			const sound = requestOf(promptOf(session, partCount));
			const other = daemons[(round + 1) % daemonCount]!;
			t.notOk(other.quarantinedPart(service, sound), `sound request of round ${round}`);
			other.noteAnswer(service, sound);
			await clock.advance(2000);
		}

		t.ok(crashes <= 3, `${crashes} crashes`);
		for (const daemon of daemons) {
			t.match(daemon.quarantinedPart(service, requestOf(['new', 'harmful'])), {partId: 'harmful'});
		}

		t.ok(largestBytes() < maxMessageBytes, `${largestBytes()} bytes`);
	});
}

// Guards against requests whose parts beyond those of the estimate are not judged.
tap.t.test('the engine judges parts that its estimate does not list', (t) => {
	const {quarantine, reply, transport} = engineHarness.start(fixtures.longRoute, {
		rawHeaders: [...promptOf('a', 100, 90), 'own'].flatMap((id) => ['part', id]),
		facts: {
			promptParts: promptOf('a', 65).map((id) => ({id, tokens: 8})),
			hasUnlistedParts: true,
		},
	});
	t.equal(transport.sent.length, 1);
	for (const upstreamKey of [1, 2]) {
		quarantine.noteCrash(service, upstreamKey, [{request: requestOf(['harmful']), ...answering}]);
	}

	t.match(reply, {status: 502, text: /quarantined-prompt/u});
	t.end();
});
