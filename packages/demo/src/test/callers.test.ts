// Guards the interface of callers over real HTTP: OpenAI compatibility, refusals, keys and vanished callers.
import * as openai from 'openai';
import * as tap from 'tap';
import * as serviceStandin from '@hawthornfront/standins/node/service-standin.js';
import * as shape from '../node/shape.js';
import * as harness from './harness.js';

const setup = await harness.startHarness();
const {system, send} = setup;
tap.t.teardown(async () => setup.close());

const [veneto, otherVeneto] = setup.entryVms('veneto').map((entryVm) => entryVm.daemon.address);
const [emilia] = setup.entryVms('emilia').map((entryVm) => entryVm.daemon.address);
const chat = '/v1/chat/completions';

const chatBody = (members: Record<string, unknown> = {}) =>
	JSON.stringify({
		model: 'fault-messages',
		messages: [{role: 'user', content: 'fault code E17'}],
		...members,
	});

const createClient = () =>
	new openai.OpenAI({
		apiKey: shape.apiKey(shape.team),
		baseURL: `http://${veneto}/v1`,
		maxRetries: 0,
	});

const executions = (body: string): number => {
	let count = 0;
	for (const {standin} of system.services) {
		count += standin.executionsByBody().get(serviceStandin.digestBody(body)) ?? 0;
	}

	return count;
};

tap.t.test('the OpenAI client streams the answer that a whole request gives', async (t) => {
	const client = createClient();
	const messages = [{role: 'user' as const, content: 'draft a contract'}];
	const stream = await client.chat.completions.create({
		model: 'contract-drafts',
		messages,
		stream: true,
	});
	let streamed = '';
	let finishReason = '';
	for await (const chunk of stream) {
		streamed += chunk.choices[0]?.delta.content ?? '';
		finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
	}

	const whole = await client.chat.completions.create({model: 'contract-drafts', messages});
	t.equal(whole.choices[0]?.message.content, streamed);
	t.equal(finishReason, 'stop');
	t.ok(streamed.length > 0);
});

tap.t.test('the OpenAI client lists the models of the team', async (t) => {
	const {data} = await createClient().models.list();
	t.same(new Set(data.map((item) => item.id)), new Set(['contract-drafts', 'fault-messages']));
});

for (const [name, options, status, kind] of [
	['unknown team', {headers: {authorization: 'Bearer nobody.x'}}, 401, 'unauthorized'],
	['wrong secret', {headers: {authorization: `Bearer ${shape.team}.x`}}, 401, 'unauthorized'],
	['no key', {headers: {authorization: ''}}, 401, 'unauthorized'],
	['broken JSON', {body: '{'}, 400, 'bad-request'],
	['no messages', {body: chatBody({messages: []})}, 400, 'bad-request'],
	['unknown entry', {body: chatBody({model: 'nothing'})}, 404, 'not-found'],
	['wrong timeout', {headers: {'request-timeout-ms': 'soon'}}, 400, 'bad-request'],
	['body over the limit', {body: ' '.repeat(1_100_000)}, 413, 'body-too-large'],
	[
		'request that came back',
		{headers: {'cdn-loop': 'x, hawthornfront-demo'}},
		508,
		'loop-detected',
	],
	['too many crossings', {headers: {'hawthornfront-crossings': '2'}}, 508, 'loop-detected'],
] as const) {
	tap.t.test(`${name} is refused as not run`, async (t) => {
		// A bound entry exists for the owner, so the header names the entry ahead of the body.
		const headers = {'hawthornfront-entry': 'fault-messages'};
		const isNamed = name !== 'unknown entry';
		const answer = await send({
			address: veneto!,
			path: chat,
			body: chatBody(),
			...options,
			headers: {...(isNamed ? headers : {}), ...('headers' in options ? options.headers : {})},
		});
		t.equal(answer.status, status);
		t.equal(answer.problem?.type, `urn:hawthornfront:problem:${kind}`);
		t.equal(answer.problem?.outcome, 'not-run');
	});
}

tap.t.test('bound request at the wrong region names the entry VMs of its home', async (t) => {
	const answer = await send({
		address: emilia!,
		path: '/v1/services/veneto-bookings/bound',
		body: 'bound text',
	});
	t.equal(answer.status, 421);
	t.same(new Set(answer.problem?.entries), new Set([veneto, otherVeneto]));
	t.notMatch(JSON.stringify(system.entryVms.map(({daemon}) => daemon.dump())), 'bound text');
});

tap.t.test(
	'entry in the body only is refused where the team has data bound elsewhere',
	async (t) => {
		const answer = await send({address: emilia!, path: chat, body: chatBody()});
		t.equal(answer.status, 400);
		t.match(answer.problem?.detail, 'hawthornfront-entry');
	},
);

tap.t.test('booking repeated through another entry VM runs once', async (t) => {
	const key = await setup.takeKey(veneto!);
	const request = {
		path: '/v1/services/bookings/reservations',
		headers: {'idempotency-key': key},
		body: 'heater 4 in May',
	};
	const first = await send({...request, address: veneto!});
	const second = await send({...request, address: otherVeneto!});
	t.equal(first.status, 200);
	t.equal(second.text, first.text);
	t.equal(executions(request.body), 1);
	const other = await send({...request, address: otherVeneto!, body: 'heater 5 in May'});
	t.equal(other.status, 422);
	t.equal(executions('heater 5 in May'), 0);
});

tap.t.test('booking is resolved at the witness after its owner crashed', async (t) => {
	const owner = setup.entryVms('lombardia')[0]!.daemon;
	const others = setup.entryVms('lombardia').slice(1);
	const key = await setup.takeKey(owner.address);
	const unused = await setup.takeKey(owner.address);
	const path = '/v1/services/bookings/reservations';
	const body = 'heater 6 in May';
	const first = await send({address: owner.address, path, headers: {'idempotency-key': key}, body});
	t.equal(first.status, 200);
	owner.crash();
	const {address} = others[0]!.daemon;
	const again = await send({address, path, headers: {'idempotency-key': key}, body});
	t.equal(again.status, 200);
	t.equal(again.text, first.text);
	const never = await send({address, path, headers: {'idempotency-key': unused}, body: 'heater 7'});
	t.equal(never.problem?.outcome, 'not-run');
	t.ok(never.problem?.freshKey);
	t.equal(executions('heater 7'), 0);
	t.equal(executions(body), 1);
});

tap.t.test('made-up key is refused with the way to get one', async (t) => {
	const answer = await send({
		address: veneto!,
		path: '/v1/services/bookings/reservations',
		headers: {'idempotency-key': 'made-up'},
		body: 'heater 8',
	});
	t.equal(answer.problem?.outcome, 'not-run');
	t.match(answer.problem?.detail, '/v1/entries');
	t.equal(executions('heater 8'), 0);
});

tap.t.test('vanished caller frees its slot and the runner', async (t) => {
	const cancelled = () =>
		system.runners.reduce((sum, {standin}) => sum + standin.counts.cancelled, 0);
	const before = cancelled();
	const controller = new AbortController();
	const sending = send({
		address: veneto!,
		path: chat,
		headers: {'hawthornfront-entry': 'contract-drafts'},
		body: chatBody({model: 'contract-drafts', stream: true}),
		signal: controller.signal,
	});
	const rejected = t.rejects(sending);
	const inFlight = () =>
		(setup.entryVms('veneto')[0]!.daemon.dump() as {inFlight: number}).inFlight;
	await setup.until(() => inFlight() > 0, 'the stream is in progress');
	controller.abort();
	await rejected;
	await setup.until(() => inFlight() === 0, 'the daemon has let go of the request');
	await setup.until(() => cancelled() > before, 'the runner has cancelled the work');
});

tap.t.test('broken runner stream goes on elsewhere without a gap', async (t) => {
	const body = chatBody({
		model: 'contract-drafts',
		messages: [{role: 'user', content: 'resume me'}],
	});
	const request = {
		address: veneto!,
		path: chat,
		headers: {'hawthornfront-entry': 'contract-drafts'},
	};
	const expected = await send({...request, body});
	for (const {standin, region} of system.runners) {
		standin.faults.resetAfterTokens = region === 'veneto' ? 5 : undefined;
	}

	const lucky = system.runners.find(({region}) => region === 'veneto');
	lucky!.standin.faults.resetAfterTokens = undefined;
	const answer = await send({...request, body});
	for (const {standin} of system.runners) {
		standin.faults.resetAfterTokens = undefined;
	}

	t.equal(answer.status, 200);
	t.same(JSON.parse(answer.text).choices, JSON.parse(expected.text).choices);
});

tap.t.test('operator pages answer without content', async (t) => {
	for (const path of ['/healthz', '/readyz', '/metrics', '/debug/state']) {
		const answer = await send({address: veneto!, path});
		t.equal(answer.status, 200, path);
		t.notMatch(answer.text, 'heater');
	}
});
