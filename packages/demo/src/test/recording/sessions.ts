/** The recorded sessions, each with the property that it stands for. */
import type * as tap from 'tap';
import * as session from '../world/session.js';
import * as stepUpstream from '../world/step-upstream.js';
import * as worlds from '../world/world.js';
import * as recorders from './recorder.js';

type Test = Pick<typeof tap.t, 'ok' | 'notOk' | 'equal' | 'not' | 'same'>;

type Stage = {
	t: Test;
	system: worlds.World;
	home: worlds.EntryVm;
	neighbour: worlds.EntryVm;
	recorder: recorders.Recorder;
	/** Sends a request, waits for its verdict and records it. */
	ask(request: session.Request): Promise<session.Verdict>;
};

/** A session; its file is `<name>.golden`. */
export type Session = {
	name: string;
	title: string;
	run(stage: Stage): Promise<void>;
};

const prompt = 'draft the notice to the boats';
const order = 'net 7 torn at the ridge';
/** Longer than the time for which a stopping daemon announces that it leaves. */
const longTokenMs = 3000;
/** Lets completions reach the witness after the caller has its answer. */
const aftermathMs = 2000;

const checkWhole = (t: Test, verdict: session.Verdict, text: string): void => {
	t.same(verdict, {kind: 'whole', status: 200, text}, 'the caller got its whole answer');
};

const indexOfRequest = ({recorder}: Stage, predicate: (message: recorders.Message) => boolean) =>
	recorder.messages.findIndex((message) => message.kind === 'request' && predicate(message));

const requestsToRunners = ({recorder}: Stage): recorders.Message[] =>
	recorder.messages.filter(
		({kind, path, to}) =>
			kind === 'request' && path === '/v1/chat/completions' && /-r\d$/u.test(to),
	);

const requestsToServices = ({recorder}: Stage): recorders.Message[] =>
	recorder.messages.filter(({kind, to}) => kind === 'request' && /-s\d$/u.test(to));

const streamedDraft: Session = {
	name: 'streamed-draft',
	title: 'A streamed draft: one runner answers token by token.',
	async run(stage) {
		const {t, system, home, recorder, ask} = stage;
		const verdict = await ask(session.chat(home.address, 'report', prompt));
		checkWhole(t, verdict, stepUpstream.wholeText(prompt));
		t.equal(session.executions(system, prompt), 1, 'one runner executed the request');
		const parts = recorder.messages.filter(({kind, from}) => kind === 'part' && from === 'caller');
		t.ok(parts.length >= stepUpstream.answerTokens, 'the answer reached the caller in parts');
		t.ok(parts[0]!.atMs < parts.at(-1)!.atMs, 'the first part did not wait for the last');
	},
};

const booking: Session = {
	name: 'booking',
	title: 'A booking with a key: the witness holds the intent before the service sees the order.',
	async run(stage) {
		const {t, system, home, recorder, ask} = stage;
		const key = await session.takeKey(system, home.address);
		checkWhole(t, await ask(session.order(home.address, 'order', order, key)), `done: ${order}`);
		await system.clock.advance(aftermathMs);
		t.equal(session.executions(system, order), 1, 'the order ran once');
		const intent = indexOfRequest(stage, ({text}) => text.includes('"once.intent"'));
		const {exchange} = recorder.messages[intent]!;
		const recorded = recorder.messages.findIndex(
			({kind, text, exchange: number}) =>
				kind === 'part' && number === exchange && text.includes('"recorded"'),
		);
		const dispatch = indexOfRequest(stage, ({to}) => /-s\d$/u.test(to));
		t.ok(intent >= 0 && intent < recorded, 'the witness recorded the intent');
		t.ok(recorded < dispatch, 'the order left only after the witness had answered');
		const complete = indexOfRequest(stage, ({text}) => text.includes('"once.complete"'));
		t.ok(complete > dispatch, 'the witness was told of the completion');
	},
};

const bookingRetried: Session = {
	name: 'booking-retried-elsewhere',
	title: 'A booking whose caller loses its connection and tries again through another entry VM.',
	async run(stage) {
		const {t, system, home, neighbour, recorder, ask} = stage;
		const key = await session.takeKey(system, home.address);
		const connection = new AbortController();
		system.hook = async (step) => {
			if (step === 'sent-in-full' && !connection.signal.aborted) {
				recorder.note('the caller loses its connection');
				connection.abort(new Error('connection lost'));
			}
		};

		const {signal} = connection;
		const lost = await ask({...session.order(home.address, 'order', order, key), signal});
		t.equal(lost.kind, 'broken', 'the first try got no answer');
		const verdict = await ask(session.order(neighbour.address, 'order', order, key));
		checkWhole(t, verdict, `done: ${order}`);
		await system.clock.advance(aftermathMs);
		t.equal(session.executions(system, order), 1, 'the order ran once');
		t.equal(requestsToServices(stage).length, 1, 'one request left for a service');
		t.ok(
			indexOfRequest(stage, ({from, to}) => from === neighbour.name && to === home.name) >= 0,
			'the second entry VM asked the owner of the key',
		);
	},
};

const wrongRegion: Session = {
	name: 'wrong-region',
	title: 'A bound request at the wrong region is refused there and served at home.',
	async run(stage) {
		const {t, system, home, recorder, ask} = stage;
		const refused = await ask(session.order(home.address, 'bound-order', order));
		const problem = refused.kind === 'problem' ? refused.problem : undefined;
		t.equal(problem?.status, 421, 'refused as misdirected');
		t.equal(problem?.outcome, 'not-run', 'the refusal is certain');
		t.equal(session.executions(system, order), 0, 'nothing ran');
		t.ok(
			recorder.messages.every(({from}) => from === 'caller'),
			'nothing of the request left the entry VM',
		);
		const away = system.entryVms.filter(({region}) => region === 'away');
		t.same(
			[...(problem?.entries ?? [])].sort(),
			away.map(({address}) => address),
			'the refusal names the entry VMs of the home region',
		);
		const [address] = problem?.entries ?? [];
		checkWhole(t, await ask(session.order(address!, 'bound-order', order)), `done: ${order}`);
		t.equal(session.executions(system, order), 1, 'the order ran once');
		t.same(
			requestsToServices(stage).map(({to}) => to),
			['away-s1'],
			'only a service of the home region saw the order',
		);
	},
};

const resumedStream: Session = {
	name: 'resumed-stream',
	title: 'A stream whose runner dies in the middle is resumed at the exact token.',
	async run(stage) {
		const {t, system, home, recorder, ask} = stage;
		let hasDied = false;
		system.hook = async (step, upstream) => {
			if (step === 'mid-stream' && !hasDied) {
				hasDied = true;
				recorder.note('the runner dies');
				system.upstreams.get(upstream)!.mode = 'dead';
				system.refuseConnections(upstream);
			}
		};

		const verdict = await ask(session.chat(home.address, 'ask', prompt));
		checkWhole(t, verdict, stepUpstream.wholeText(prompt));
		t.ok(hasDied, 'the runner died');
		const attempts = requestsToRunners(stage);
		t.equal(attempts.length, 2, 'two runners were asked');
		t.not(attempts[0]?.to, attempts[1]?.to, 'the second is another one');
		const from = attempts.map(
			({text}) => (JSON.parse(text) as {resume_from_token: number}).resume_from_token,
		);
		const received = recorder.messages.filter(
			({kind, exchange, text}) =>
				kind === 'part' && exchange === attempts[0]?.exchange && text.includes('token_index'),
		);
		t.same(from, [0, received.length], 'the second starts at the first token that is missing');
	},
};

const plannedStop: Session = {
	name: 'planned-stop',
	title: 'A planned stop under load: the stream in progress ends whole, a new request is refused.',
	async run(stage) {
		const {t, system, home, recorder, ask} = stage;
		let stopping: Promise<void> | undefined;
		let hasStopped = false;
		let refusing: Promise<session.Verdict> | undefined;
		const later = 'a new question';
		const stop = async () => {
			await home.daemon.stop();
			hasStopped = true;
			recorder.note('the entry daemon has stopped');
		};

		system.hook = async (step, _upstream, text) => {
			if (step === 'mid-stream' && text === prompt) {
				recorder.note('the entry daemon is told to stop');
				stopping = stop();
				refusing = session.send(system, session.chat(home.address, 'ask', later));
				await system.clock.sleep(longTokenMs);
				t.notOk(hasStopped, 'the daemon waits for the stream');
			}
		};

		const verdict = await ask(session.chat(home.address, 'ask', prompt));
		checkWhole(t, verdict, stepUpstream.wholeText(prompt));
		t.equal(requestsToRunners(stage).length, 1, 'the stream was not moved to another runner');
		const refused = await session.settle(system, refusing!);
		recorder.verdict(refused);
		const problem = refused.kind === 'problem' ? refused.problem : undefined;
		t.equal(problem?.type, 'urn:hawthornfront:problem:stopping', 'new work is refused');
		t.equal(problem?.outcome, 'not-run', 'the refusal is certain');
		t.equal(session.executions(system, later), 0, 'the refused request did not run');
		const entries = problem?.entries ?? [];
		t.ok(entries.length > 0 && !entries.includes(home.address), 'other entry VMs are named');
		await session.settle(system, stopping!);
		t.ok(hasStopped, 'the daemon stopped after the stream');
		const again = await ask(session.chat(entries[0]!, 'ask', later));
		checkWhole(t, again, stepUpstream.wholeText(later));
	},
};

export const sessions: Session[] = [
	streamedDraft,
	booking,
	bookingRetried,
	wrongRegion,
	resumedStream,
	plannedStop,
];

const seed = 5;

/** Plays a session in a fresh deployment and returns its record. */
export const play = async (t: Test, {title, run}: Session): Promise<string> => {
	const system = await worlds.startWorld(seed);
	const [home, neighbour] = system.entryVms as [worlds.EntryVm, worlds.EntryVm];
	const recorder = recorders.createRecorder(system, title);
	await run({
		t,
		system,
		home,
		neighbour,
		recorder,
		async ask(request) {
			const verdict = await session.settle(system, session.send(system, request));
			recorder.verdict(verdict);
			return verdict;
		},
	});
	system.close();
	return recorder.render();
};
