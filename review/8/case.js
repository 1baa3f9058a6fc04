/**
 * Two of three gateways of a zone are killed at once while an upstream leaves without a
 * word. The third one follows the store through the other two and is not disturbed.
 */
import * as harness from '../lib-2/harness.js';

const drainMs = 3000;
/** The upstream serves for `drain_ms` after its entry was removed, and for some seconds more. */
const servesOnMs = 12_000;
const observedMs = 15_000;
const workMs = 100;
const requestEveryMs = 33;
const settleMs = 6000;
const restartDelayMs = 800;

const record = harness.createRecord(harness.folderOf(import.meta.url));
const store = await harness.startStore(record);
store.put(
	'op/config',
	harness.config(
		1,
		[harness.route('book', '/book/', {kind: 'unsafe', service: 'desk'})],
		[harness.service('desk')],
	),
);
const place = {service: 'desk', zone: 'north-a', workMs};
await harness.startUpstream(record, store, {...place, id: 'i-stays'});
const leaving = await harness.startUpstream(record, store, {...place, id: 'i-leaves'});
const gateways = await harness.startGateways(
	record,
	store,
	['front-1', 'front-2', 'front-3'].map((name) => ({name, zone: 'north-a'})),
	{'north-a': 'north'},
);
await harness.sleep(settleMs);

/** The gateway that doesn't watch the store itself. */
const findFollower = async () => {
	for (const gateway of gateways) {
		const {self} = await gateway.state();
		if (self.storeContact === 'none') {
			return gateway;
		}
	}

	return record.unable('each gateway watches the store');
};

const follower = await findFollower();
record.note(`${follower.name} is not disturbed`);
if (harness.hasTrouble) {
	for (const gateway of gateways.filter((other) => other !== follower)) {
		gateway.restartDelayMs = restartDelayMs;
		gateway.signal('SIGKILL');
	}

	await harness.sleep(100);
}

const leftAtMs = Date.now();
record.note('i-leaves: leaves without a word, its entry is removed');
leaving.leave();
setTimeout(() => {
	leaving.crash();
}, servesOnMs);

const answers = [];
while (Date.now() < leftAtMs + observedMs) {
	answers.push(
		harness.send(record, follower, {
			method: 'POST',
			requestPath: '/book/2f',
			host: 'shop.example',
			body: 'a booking',
		}),
	);
	await harness.sleep(requestEveryMs);
}

const sent = await Promise.all(answers);
const late = leaving.arrivals.filter(({atMs}) => atMs > leftAtMs + drainMs);
const lateAttempts = new Set(late.map(({attempt}) => attempt));
const unanswered = sent.filter(({attempt, status}) => lateAttempts.has(attempt) && status !== 200);
const lastMs = late.length === 0 ? 0 : late.at(-1).atMs - leftAtMs;
const summary = `${late.length} requests reached i-leaves later than ${drainMs} ms after its entry was removed, the last one after ${lastMs} ms; ${unanswered.length} of them were lost when it ended`;
await (late.length > 0 ? record.broken(summary) : record.held(summary));
