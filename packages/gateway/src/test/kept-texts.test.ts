// What a daemon keeps of texts that callers and peers choose, after many messages with ever new ones.
import * as heapUse from '@hawthornfront/base/test/heap-use.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as callerStream from '../common/caller-stream.js';
import * as directory from '../common/directory.js';
import * as eventSplitter from '../common/event-splitter.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as promptCacheView from '../common/prompt-cache-view.js';
import * as promptQuarantine from '../common/prompt-quarantine.js';
import * as requestLog from '../common/request-log.js';
import type * as wireFormat from '../common/wire-format.js';
import * as workEstimate from '../common/work-estimate.js';
import * as fixtures from './fixtures.js';

const headerLength = 7000;
const digits = '0123456789abcdef';

/** Parts that are cut out of a header of their own, with ids that no other request has. */
const createParts = (request: number, count: number, idLength: number): wireFormat.PromptPart[] => {
	const idOf = (part: number) => `${request}x${part}x`.padEnd(idLength, digits).slice(0, idLength);
	const ids = Array.from({length: count}, (_, part) => `${idOf(part)}:8`);
	const header = heapUse.receivedText(`${ids.join(',')},own:`.padEnd(headerLength, digits));
	return header
		.split(',')
		.slice(0, count)
		.map((part) => ({id: part.split(':')[0]!, tokens: 8}));
};

const createView = () => promptCacheView.createPromptCacheView(() => 1000, 60_000);

const maxViewBytes = promptCacheView.maxPartBytes + promptCacheView.maxGossipedBytes;

// Prompt prefixes whose ids never repeat: the view kept the whole header of each of 20,000 requests, and the heap limit ended the daemon.
tap.t.test('never repeating parts: the cache view keeps no headers', async (t) => {
	const view = createView();
	const before = heapUse.usedBytes();
	for (let request = 0; request < 22_000; request++) {
		view.noteSent('u1', createParts(request, 5, 32));
		view.takeSent();
	}

	const kept = heapUse.usedBytes() - before;
	t.ok(kept <= maxViewBytes, `${kept} bytes`);
	t.ok(view.trackedBytes <= promptCacheView.maxPartBytes);
	t.ok(view.trackedParts > 10_000, 'the view still tracks as many parts');
});

// The view counted parts, whatever the number of their runners and the length of their ids.
tap.t.test('longest ids and many runners: the cache view keeps its limit in bytes', async (t) => {
	const view = createView();
	const before = heapUse.usedBytes();
	for (let request = 0; request < 4000; request++) {
		const parts = createParts(request, 5, promptCacheView.maxTrackedIdLength);
		for (let runner = 0; runner < 100; runner++) {
			view.noteSent(`u${runner}`, parts);
		}
	}

	const kept = heapUse.usedBytes() - before;
	t.ok(kept <= maxViewBytes, `${kept} bytes, ${view.trackedBytes} by the estimates`);
	t.ok(view.trackedParts < 20_000, 'the bytes are the narrower limit');
	t.ok(view.trackedBytes <= promptCacheView.maxPartBytes);
	for (let runner = 0; runner < 100; runner++) {
		view.forget(`u${runner}`);
	}

	const emptyBytes = view.trackedBytes;
	t.ok(emptyBytes > 0 && emptyBytes < 20_000 * 1000, 'runners that are gone count no more');
});

tap.t.test('a part with a longer id is not tracked, and the others are', async (t) => {
	const view = createView();
	const long = 'f'.repeat(promptCacheView.maxTrackedIdLength + 1);
	const parts = [
		{id: 'system', tokens: 300},
		{id: long, tokens: 400},
	];
	view.noteSent('u1', parts);
	view.notePeerSent({partId: long, runner: 'u2'});
	t.equal(view.trackedParts, 1);
	t.same(view.takeSent(), []);
	t.equal(view.heldTokens('u1', parts), 300);
	t.equal(view.heldTokens('u2', parts), 0);
});

tap.t.test('only the first parts of a request with very many are tracked', async (t) => {
	const promptParts = Array.from({length: 200}, (_, index) => ({id: `p${index}`, tokens: 8}));
	const work = workEstimate.estimateWork(
		fixtures.facts({promptTokens: 0, promptParts}),
		fixtures.longRoute,
	);
	t.equal(work.sharedParts.length, workEstimate.maxSharedParts);
	t.equal(work.promptTokens, 1600, 'all parts count as work');
});

tap.t.test(
	'prefixes wait for gossip in the order of their sends, the newest ones only',
	async (t) => {
		const view = createView();
		for (let index = 0; index < 100; index++) {
			view.noteSent('u1', [{id: `p${index}`, tokens: 8}]);
		}

		const sent = view.takeSent();
		t.equal(sent.length, 40);
		t.equal(sent[0]?.partId, 'p60');
		t.equal(sent.at(-1)?.partId, 'p99');
	},
);

// Each answered part kept the header of its request.
tap.t.test('never repeating parts: the quarantine keeps no headers', async (t) => {
	const clock = new manualClock.ManualClock();
	const quarantine = promptQuarantine.createPromptQuarantine(
		clock,
		() => fixtures.quarantineSettings,
	);
	const before = heapUse.usedBytes();
	for (let request = 0; request < 20_000; request++) {
		quarantine.noteAnswer('model', {
			partIds: () => createParts(request, 1, 32).map(({id}) => id),
			digest: () => 'digest',
			isStream: true,
		});
	}

	const kept = heapUse.usedBytes() - before;
	t.ok(kept <= promptQuarantine.maxAnsweredBytes, `${kept} bytes`);
	t.same(quarantine.takeReports(), []);
});

// Each waiting stream kept the text of the last bytes that it had received, for their event id.
tap.t.test('waiting streams: the last event id keeps no bytes of the stream', async (t) => {
	const streams = 200;
	const chunkLength = 64_000;
	const createStream = (index: number) => {
		const splitter = eventSplitter.createEventSplitter();
		const stream = callerStream.createCallerStream(undefined);
		const event = `id: event-with-a-long-id-${index}\ndata: `;
		const bytes = new TextEncoder().encode(`${event.padEnd(chunkLength, 'x')}\n\n`);
		stream.notePassed(splitter.push(bytes)!);
		return {splitter, stream};
	};

	const before = heapUse.usedBytes();
	const waiting = Array.from({length: streams}, (_, index) => createStream(index));
	const kept = heapUse.usedBytes() - before;
	t.ok(kept < (streams * chunkLength) / 10, `${kept} bytes`);
	t.equal(waiting[7]!.stream.lastEventId, 'event-with-a-long-id-7');
});

// A caller's query names the region: each of 500 kept up to the longest head of a request.
tap.t.test(
	'ever new long regions: the log of directory answers keeps and names a part',
	async (t) => {
		const regionLength = 8000;
		const named: string[] = [];
		const watch = directory.createAnswerChangeDetector((region) => {
			named.push(region);
		});
		const answer: directory.DirectoryAnswer = {addresses: [], basis: 'any', timeToLiveMs: 1000};
		const before = heapUse.usedBytes();
		for (let index = 0; index < 500; index++) {
			const query = heapUse.receivedText(`region=${index}-`.padEnd(regionLength, digits));
			watch({region: query.slice(7)}, answer);
		}

		const kept = heapUse.usedBytes() - before;
		t.ok(kept < (500 * regionLength) / 4, `${kept} bytes`);
		t.equal(named.length, 500);
		t.ok(named.every(({length}) => length <= 64));
		watch({region: 'north'}, answer);
		watch({region: 'north'}, answer);
		t.equal(named.length, 501, 'an answer that does not change is not repeated');
	},
);

// One line had up to ten ids, each as long as a header may be.
tap.t.test('long ids of a caller: a log line names the begin of each', async (t) => {
	const clock = new manualClock.ManualClock();
	const lines: gatewayEvent.GatewayEvent[] = [];
	const long = 'f'.repeat(headerLength);
	const promptParts = Array.from({length: 200}, () => ({id: long, tokens: 1}));
	const log = requestLog.createRequestLog(
		clock,
		{
			note(event) {
				lines.push(event);
			},
		},
		{
			method: 'POST',
			path: '/drafts/x',
			rawHeaders: [],
			digest: () => 'digest',
			facts: fixtures.facts({attemptId: long, promptParts}),
			route: fixtures.longRoute,
			service: fixtures.modelService,
			configVersion: 1,
			arrivedAtMs: 0,
			maxUpstreams: 1,
		},
		() => ({remainingMs: 1, sends: 1, resumeAfter: long}),
	);
	log.sent({
		kind: 'upstream',
		upstream: {entry: fixtures.upstream('u1'), region: 'north', coldUntilMs: 0},
		readTokens: 1,
		basis: {expectedMs: 1, candidates: 1},
	});
	t.equal(lines.length, 1);
	t.ok(JSON.stringify(lines[0]).length < 1500);
});
